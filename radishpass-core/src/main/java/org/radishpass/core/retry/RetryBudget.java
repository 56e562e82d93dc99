package org.radishpass.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a fraction of the traffic, so that retries do not amplify an outage.
 *
 * <p>The budget is a token bucket. Each first attempt adds a fraction of a retry and each retry removes a whole one.
 * The bucket has a maximum, so that retries left over from a period of few failures do not permit a burst of retries
 * later.
 *
 * <p>Thread-safe and lock-free.
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
     * @param ratio the number of retries that each first attempt adds to the budget
     * @param maxRetries the maximum number of retries in the budget
     */
    public RetryBudget(double ratio, int maxRetries) {
        this.unitsPerFirstAttempt = Math.round(ratio * UNITS_PER_RETRY);
        this.maxUnits = maxRetries * UNITS_PER_RETRY;
        this.availableUnits = new AtomicLong(this.maxUnits);
    }

    /** Adds the share of a first attempt to the budget. */
    public void firstAttempt() {
        availableUnits.getAndUpdate(value -> Math.min(maxUnits, value + unitsPerFirstAttempt));
    }

    /** Takes one retry from the budget if it holds one, and returns whether it did. */
    public boolean tryRetry() {
        return availableUnits.getAndUpdate(value -> value >= UNITS_PER_RETRY ? value - UNITS_PER_RETRY : value)
                >= UNITS_PER_RETRY;
    }
}
