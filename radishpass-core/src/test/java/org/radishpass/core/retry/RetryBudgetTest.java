package org.radishpass.core.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that retries stay within a fraction of the traffic. */
final class RetryBudgetTest {
    @Test
    void retriesStayAFractionOfTheTrafficWhenEveryAttemptFails() {
        RetryBudget budget = new RetryBudget(0.1, 10);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.firstAttempt();
            while (budget.tryRetry()) {
                retries++;
            }
        }

        assertThat(retries).isAtMost(1_000 / 10 + 10);
        assertThat(retries).isAtLeast(1_000 / 10);
    }

    @Test
    void unusedRetriesAccumulateOnlyUpToTheMaximum() {
        RetryBudget budget = new RetryBudget(0.5, 3);
        for (int i = 0; i < 100; i++) {
            budget.firstAttempt();
        }
        int retries = 0;
        while (budget.tryRetry()) {
            retries++;
        }

        assertThat(retries).isEqualTo(3);
    }
}
