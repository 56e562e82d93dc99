package org.radishpass.router.internal.traffic;

import java.time.Duration;

/**
 * The times at which a router that stops goes from one step to the next, on the monotonic clock in nanoseconds.
 *
 * @param drainedAtNanos until when the load balancer may send callers that know of no other router
 * @param endAtNanos when the requests in progress are ended
 * @since 0.12.0
 */
public record StopDeadlines(long drainedAtNanos, long endAtNanos) {
    /**
     * Returns the deadlines of a stop.
     *
     * @param startNanos when the signal to stop was received, on the monotonic clock in nanoseconds
     * @param balancer how long the load balancer may take to notice that the router is not ready
     * @param drain how long requests may take after that
     */
    public static StopDeadlines of(long startNanos, Duration balancer, Duration drain) {
        long drainedAtNanos = startNanos + balancer.toNanos();
        return new StopDeadlines(drainedAtNanos, drainedAtNanos + drain.toNanos());
    }
}
