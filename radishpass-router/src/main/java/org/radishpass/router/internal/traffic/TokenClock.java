package org.radishpass.router.internal.traffic;

/**
 * Times the events of one stream.
 *
 * @since 0.1.0
 */
final class TokenClock {
    private final CallerRequest request;
    private final TrafficMetrics metrics;
    private long lastNanos = System.nanoTime();
    private boolean begun;

    TokenClock(CallerRequest request, TrafficMetrics metrics) {
        this.request = request;
        this.metrics = metrics;
    }

    /** Notes an event. */
    void event() {
        long now = System.nanoTime();
        long nanos = now - lastNanos;
        lastNanos = now;
        if (begun) {
            metrics.nextToken(request, nanos);
        } else {
            begun = true;
            metrics.firstToken(request, nanos);
        }
    }
}
