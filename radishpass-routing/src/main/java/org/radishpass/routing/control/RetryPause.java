package org.radishpass.routing.control;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/** How long to wait before the store is asked again: longer with each failure, and spread over routers. */
final class RetryPause {
    /** The first pause in milliseconds: a lost answer costs little time. */
    private static final long FIRST_MILLIS = 350;

    /**
     * The longest pause in milliseconds. A try that hangs takes 800 ms itself, and a configuration has to be in force within 2 s
     * once the store has been well for 3 s; 2,000 broke that bound.
     */
    private static final long LONGEST_MILLIS = 700;

    private static final double GROWTH = 1.6;

    private double millis = FIRST_MILLIS;

    /** Returns the next pause, spread by a quarter. */
    Duration next() {
        double pause = millis;
        millis = Math.min(LONGEST_MILLIS, millis * GROWTH);
        return Duration.ofMillis(
                (long) (pause * (1 + ThreadLocalRandom.current().nextDouble() / 4)));
    }

    /** Starts anew: the store has answered. */
    void reset() {
        millis = FIRST_MILLIS;
    }
}
