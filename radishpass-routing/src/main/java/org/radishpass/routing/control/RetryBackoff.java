package org.radishpass.routing.control;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Computes how long to wait before the next request to the store. The delay grows with each failure and is randomized,
 * so that routers do not retry at the same time.
 */
final class RetryBackoff {
    /** The first delay in milliseconds; short, since a single lost response should cost little time. */
    private static final long INITIAL_MILLIS = 350;

    /**
     * The longest delay in milliseconds. A request that hangs takes 800 ms itself, and a configuration must be in force
     * within 2 s after the store has worked for 3 s. With delays of 2,000 ms that bound was not met.
     */
    private static final long MAX_MILLIS = 700;

    private static final double GROWTH_FACTOR = 1.6;

    private double millis = INITIAL_MILLIS;

    /** Returns the next delay, lengthened by a random share of up to 25%. */
    Duration next() {
        double delayMillis = millis;
        millis = Math.min(MAX_MILLIS, millis * GROWTH_FACTOR);
        return Duration.ofMillis(
                (long) (delayMillis * (1 + ThreadLocalRandom.current().nextDouble() / 4)));
    }

    /** Returns to the first delay, because the store has responded. */
    void reset() {
        millis = INITIAL_MILLIS;
    }
}
