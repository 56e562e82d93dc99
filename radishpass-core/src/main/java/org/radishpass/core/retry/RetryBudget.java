package org.radishpass.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Allows retries as a fraction of the traffic, so that they cannot multiply an outage.
 *
 * <p>Each first attempt earns a fraction of a retry; a retry spends a whole one. What is saved up is bounded, so that a
 * quiet hour does not pay for a storm. Safe for threads, without locks.
 *
 * @since 0.1.0
 */
public final class RetryBudget {
    private static final long UNITS_PER_RETRY = 1_000;

    private final long unitsPerFirstAttempt;
    private final long maxUnits;
    private final AtomicLong availableUnits;

    /**
     * Creates a budget that starts full.
     *
     * @param ratio the retries that each first attempt earns
     * @param most the most retries that can be saved up
     */
    public RetryBudget(double ratio, int most) {
        this.unitsPerFirstAttempt = Math.round(ratio * UNITS_PER_RETRY);
        this.maxUnits = most * UNITS_PER_RETRY;
        this.availableUnits = new AtomicLong(this.maxUnits);
    }

    /** Counts a first attempt. */
    public void firstAttempt() {
        availableUnits.getAndUpdate(value -> Math.min(maxUnits, value + unitsPerFirstAttempt));
    }

    /** Spends one retry if there is one. */
    public boolean tryRetry() {
        return availableUnits.getAndUpdate(value -> value >= UNITS_PER_RETRY ? value - UNITS_PER_RETRY : value)
                >= UNITS_PER_RETRY;
    }
}
