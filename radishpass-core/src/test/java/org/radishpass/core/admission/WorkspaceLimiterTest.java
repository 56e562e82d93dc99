package org.radishpass.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the limits on the requests that workspaces have in progress. */
final class WorkspaceLimiterTest {
    private final WorkspaceLimiter limiter = new WorkspaceLimiter();

    @Test
    void aRouterAdmitsItsShareOfTheFleetLimitPlusHeadroom() {
        int entered = 0;
        while (limiter.tryAcquire("w", 80, 8)) {
            entered++;
        }

        assertThat(entered).isEqualTo(15);
        assertThat(limiter.inProgress("w")).isEqualTo(15);
    }

    @Test
    void aRequestIsAdmittedAfterAnotherOneHasEnded() {
        assertThat(limiter.tryAcquire("w", 1, 100)).isTrue();
        assertThat(limiter.tryAcquire("w", 1, 100)).isFalse();

        limiter.release("w");

        assertThat(limiter.tryAcquire("w", 1, 100)).isTrue();
    }

    @Test
    void aWorkspaceAtItsLimitDoesNotAffectAnotherWorkspace() {
        while (limiter.tryAcquire("one", 10, 1)) {
            // admit requests up to the limit
        }

        assertThat(limiter.tryAcquire("other", 10, 1)).isTrue();
    }
}
