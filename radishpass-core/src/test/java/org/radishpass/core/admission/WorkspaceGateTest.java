package org.radishpass.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the limits on the requests that workspaces have in progress. */
final class WorkspaceGateTest {
    private final WorkspaceGate gate = new WorkspaceGate();

    @Test
    void aRouterAdmitsItsShareOfTheFleetLimitPlusHeadroom() {
        int entered = 0;
        while (gate.tryEnter("w", 80, 8)) {
            entered++;
        }

        assertThat(entered).isEqualTo(15);
        assertThat(gate.inProgress("w")).isEqualTo(15);
    }

    @Test
    void aRequestIsAdmittedAfterAnotherOneHasEnded() {
        assertThat(gate.tryEnter("w", 1, 100)).isTrue();
        assertThat(gate.tryEnter("w", 1, 100)).isFalse();

        gate.leave("w");

        assertThat(gate.tryEnter("w", 1, 100)).isTrue();
    }

    @Test
    void aWorkspaceAtItsLimitDoesNotAffectAnotherWorkspace() {
        while (gate.tryEnter("one", 10, 1)) {
            // admit requests up to the limit
        }

        assertThat(gate.tryEnter("other", 10, 1)).isTrue();
    }
}
