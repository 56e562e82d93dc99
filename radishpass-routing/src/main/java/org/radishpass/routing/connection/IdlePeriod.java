package org.radishpass.routing.connection;

import java.util.OptionalLong;

/**
 * Tracks for how long an idle connection may carry another request. Times are on the monotonic clock in milliseconds.
 *
 * @since 0.16.0
 */
public final class IdlePeriod {
    /** Milliseconds before the announced end of an idle connection from which on it is no longer used. */
    private static final long KEEP_ALIVE_MARGIN_MILLIS = 1_000;

    /** Milliseconds for which an idle connection is kept if the endpoint does not announce a keep-alive time. */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

    private long announcedMillis = DEFAULT_KEEP_ALIVE_MILLIS;
    private long usableUntilMillis;
    private long usedAtMillis;

    /** Records the keep-alive time that the endpoint has announced with a response, if any. */
    public void announced(OptionalLong keepAliveMillis) {
        announcedMillis = keepAliveMillis.orElse(DEFAULT_KEEP_ALIVE_MILLIS);
    }

    /** Begins a period: the connection worked at the given time and carries no request. */
    public void begin(long nowMillis) {
        usedAtMillis = nowMillis;
        usableUntilMillis = nowMillis + Math.max(0, announcedMillis - KEEP_ALIVE_MARGIN_MILLIS);
    }

    /** Tells whether the endpoint most likely still keeps the connection open. */
    public boolean usable(long nowMillis) {
        return nowMillis < usableUntilMillis;
    }

    /** Returns when the connection was last known to work. */
    public long usedAtMillis() {
        return usedAtMillis;
    }
}
