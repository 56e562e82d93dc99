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
    private static final long WHOLE = 1_000;

    private final long earned;
    private final long most;
    private final AtomicLong saved;

    /**
     * Creates a budget that starts full.
     *
     * @param ratio the retries that each first attempt earns
     * @param most the most retries that can be saved up
     */
    public RetryBudget(double ratio, int most) {
        this.earned = Math.round(ratio * WHOLE);
        this.most = most * WHOLE;
        this.saved = new AtomicLong(this.most);
    }

    /** Counts a first attempt. */
    public void firstAttempt() {
        saved.getAndUpdate(value -> Math.min(most, value + earned));
    }

    /** Spends one retry if there is one. */
    public boolean tryRetry() {
        return saved.getAndUpdate(value -> value >= WHOLE ? value - WHOLE : value) >= WHOLE;
    }
}
