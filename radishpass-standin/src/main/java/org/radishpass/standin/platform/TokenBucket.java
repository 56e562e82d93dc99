package org.radishpass.standin.platform;

/**
 * Token bucket rate limit that holds at most one second's tokens.
 *
 * @since 0.1.0
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private final double tokensPerSecond;
    private double tokens;
    private long lastNanos;

    TokenBucket(double tokensPerSecond, long nowNanos) {
        this.tokensPerSecond = tokensPerSecond;
        this.tokens = tokensPerSecond;
        this.lastNanos = nowNanos;
    }

    synchronized boolean tryTake(double count, long nowNanos) {
        tokens = Math.min(tokensPerSecond, tokens + (nowNanos - lastNanos) / NANOS_PER_SECOND * tokensPerSecond);
        lastNanos = nowNanos;
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }
}
