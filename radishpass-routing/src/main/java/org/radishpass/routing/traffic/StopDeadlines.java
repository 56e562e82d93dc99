package org.radishpass.routing.traffic;

import java.time.Duration;

/**
 * The times at which a router that stops goes from one step to the next, on the monotonic clock in milliseconds. They are
 * set once, so that a step whose timer is late is still measured against the time that is left.
 *
 * @param drainedAtMillis until when the load balancer may send callers that know of no other router
 * @param idleEndAtMillis when the router stops if no request is in progress
 * @param closeAtMillis when the router stops to listen even if requests are in progress
 * @param endAtMillis when the requests in progress are ended
 * @param flushedAtMillis when the router stops to wait for callers that read their responses slowly
 * @since 0.12.0
 */
public record StopDeadlines(
        long drainedAtMillis, long idleEndAtMillis, long closeAtMillis, long endAtMillis, long flushedAtMillis) {
    /**
     * Milliseconds until the load balancer sends no more callers: it notices within two of its checks, which are a second
     * apart.
     */
    static final long DRAIN_MILLIS = 2_800;

    /** Minimum milliseconds until the process ends, so that late callers still get an answer. */
    static final long MIN_STOP_MILLIS = 4_200;

    /**
     * Milliseconds between the end of listening and the end of requests. A caller whose connection was accepted last sends
     * its request within that time, and is refused instead of meeting a closed connection.
     */
    static final long CLOSE_MILLIS = 300;

    /** Milliseconds before the end of the grace period at which requests are ended; the process must have ended by then. */
    static final long END_MARGIN_MILLIS = 500;

    /** Milliseconds before the end of the grace period that are left to the end of the process. */
    static final long EXIT_MARGIN_MILLIS = 250;

    /**
     * Returns the deadlines of a stop.
     *
     * @param startMillis when the signal to stop was received, on the monotonic clock in milliseconds
     * @param grace the time from the signal until the process is killed
     */
    public static StopDeadlines of(long startMillis, Duration grace) {
        long killedAtMillis = startMillis + grace.toMillis();
        long endAtMillis = Math.max(startMillis, killedAtMillis - END_MARGIN_MILLIS);
        long closeAtMillis = Math.max(startMillis, endAtMillis - CLOSE_MILLIS);
        return new StopDeadlines(
                Math.min(startMillis + DRAIN_MILLIS, closeAtMillis),
                Math.min(startMillis + MIN_STOP_MILLIS, closeAtMillis),
                closeAtMillis,
                endAtMillis,
                Math.max(endAtMillis, killedAtMillis - EXIT_MARGIN_MILLIS));
    }
}
