package org.radishpass.routing.connection;

/**
 * The number of routers that share connections to endpoints and retries: the largest number that was known recently. A
 * router forgets peers after a minute without news. If a part of the fleet is lost for longer than that and then starts
 * at once, the others must not have taken over its shares. Confined to the traffic thread.
 *
 * @since 0.8.0
 */
public final class RouterCount {
    /** Milliseconds for which a number is remembered at least; at most it is remembered for twice as long. */
    static final long REMEMBERED_MILLIS = 600_000;

    private int maxInPeriod;
    private int maxInPreviousPeriod;
    private long periodEndMillis = Long.MIN_VALUE;

    /**
     * Returns the number of routers to divide by.
     *
     * @param known the number of routers that are known now, including this router; 0 if unknown
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return the largest number known recently; 0 if none was known
     */
    public int update(int known, long nowMillis) {
        if (nowMillis >= periodEndMillis) {
            maxInPreviousPeriod = maxInPeriod;
            maxInPeriod = 0;
            periodEndMillis = nowMillis + REMEMBERED_MILLIS;
        }
        maxInPeriod = Math.max(maxInPeriod, known);
        return Math.max(maxInPeriod, maxInPreviousPeriod);
    }
}
