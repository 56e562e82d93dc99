package org.radishpass.routing.connection;

/**
 * Counts the connections of this router to one endpoint and keeps them within the router's share of the endpoint's cap.
 *
 * <p>An endpoint accepts fewer connections than configured while its queue is long, and resets the others. Each such
 * reset halves the share; it grows back by one connection a second. A router whose share is a single connection opens
 * none for a while after a reset. Confined to the traffic thread.
 *
 * @since 0.8.0
 */
public final class ConnectionShare {
    /** Milliseconds in which a reduced share grows by one connection. */
    static final long GROWTH_MILLIS = 1_000;

    /**
     * Milliseconds after the first reset in which a router whose share is a single connection opens none. The time
     * doubles with each further reset.
     */
    static final long INITIAL_PAUSE_MILLIS = 100;

    /** The maximum pause, in milliseconds; an endpoint that works off its queue is in use again within this time. */
    static final long MAX_PAUSE_MILLIS = 1_600;

    /** Milliseconds after a reset within which further resets are likely. */
    static final long RECENT_RESET_MILLIS = 5_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private int held;
    private int reducedShare = Integer.MAX_VALUE;
    private long reducedAtMillis = NEVER;
    private long pausedUntilMillis = NEVER;
    private long pauseMillis = INITIAL_PAUSE_MILLIS;

    /** Returns the number of connections that are open or being established. */
    public int held() {
        return held;
    }

    /**
     * Returns the number of connections that this router may hold now.
     *
     * @param cap the cap of the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public int limit(ConnectionCap cap, long nowMillis) {
        int share = cap.share();
        if (!cap.limited() || reducedShare == Integer.MAX_VALUE) {
            return share;
        }
        long grown = reducedShare + (nowMillis - reducedAtMillis) / GROWTH_MILLIS;
        if (grown >= share) {
            reducedShare = Integer.MAX_VALUE;
            return share;
        }
        return (int) grown;
    }

    /**
     * Counts a connection that is about to be opened, if the share permits it.
     *
     * @param cap the cap of the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether the connection may be opened; {@link #closed} must be called when it has failed or was closed
     */
    public boolean tryOpen(ConnectionCap cap, long nowMillis) {
        if (paused(nowMillis) || held >= limit(cap, nowMillis)) {
            return false;
        }
        held++;
        return true;
    }

    /**
     * Counts a connection that is about to be opened as a probe. Probes are not limited by the share, since only a probe
     * finds out whether the endpoint is reachable while all connections wait for responses.
     */
    public void openProbe() {
        held++;
    }

    /**
     * Tells whether this router opens no connections to the endpoint, because the endpoint has reset even a single one.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean paused(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /**
     * Returns the number of connections that this router holds beyond its share; 0 if it holds no more than that.
     *
     * @param cap the cap of the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public int surplus(ConnectionCap cap, long nowMillis) {
        return Math.max(0, held - limit(cap, nowMillis));
    }

    /** Records that a connection was closed or could not be established. */
    public void closed() {
        held--;
    }

    /**
     * Records that the endpoint reset a connection because it holds too many. Called while the connection is still
     * counted.
     *
     * @param cap the cap of the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void reset(ConnectionCap cap, long nowMillis) {
        int before = Math.min(limit(cap, nowMillis), Math.max(1, held));
        reducedShare = Math.max(1, before / 2);
        reducedAtMillis = nowMillis;
        if (before == 1) {
            pausedUntilMillis = nowMillis + pauseMillis;
            pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        }
    }

    /** Records that the endpoint responded on a new connection, which it has therefore accepted. */
    public void accepted() {
        pauseMillis = INITIAL_PAUSE_MILLIS;
    }

    /**
     * Tells whether the endpoint has reset a connection so recently that it may reset the next one too.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean resetRecently(long nowMillis) {
        return nowMillis - reducedAtMillis < RECENT_RESET_MILLIS;
    }
}
