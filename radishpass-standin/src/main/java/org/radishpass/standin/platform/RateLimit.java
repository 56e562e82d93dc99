package org.radishpass.standin.platform;

/**
 * A token bucket.
 *
 * @since 0.1.0
 */
final class RateLimit {
    private static final double NANOS = 1_000_000_000;

    private final double perSecond;
    private double tokens;
    private long lastNanos;

    RateLimit(double perSecond, long nowNanos) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
        this.lastNanos = nowNanos;
    }

    synchronized boolean tryTake(double count, long nowNanos) {
        tokens = Math.min(perSecond, tokens + (nowNanos - lastNanos) / NANOS * perSecond);
        lastNanos = nowNanos;
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }
}
