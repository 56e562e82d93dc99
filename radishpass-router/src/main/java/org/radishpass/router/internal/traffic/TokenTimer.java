package org.radishpass.router.internal.traffic;

/**
 * Measures the time to the first event of a stream and the time between its events.
 *
 * @since 0.1.0
 */
final class TokenTimer {
    private final CallerRequest request;
    private final TrafficMetrics metrics;
    private long lastNanos = System.nanoTime();
    private boolean firstTokenSeen;

    TokenTimer(CallerRequest request, TrafficMetrics metrics) {
        this.request = request;
        this.metrics = metrics;
    }

    /** Records the time since the previous event, or since the creation of this timer for the first event. */
    void onEvent() {
        long now = System.nanoTime();
        long nanos = now - lastNanos;
        lastNanos = now;
        if (firstTokenSeen) {
            metrics.nextToken(request, nanos);
        } else {
            firstTokenSeen = true;
            metrics.firstToken(request, nanos);
        }
    }
}
