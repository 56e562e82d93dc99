package org.radishpass.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that workspaces are held to their limits. */
final class WorkspaceGateTest {
    private final WorkspaceGate gate = new WorkspaceGate();

    @Test
    void aRouterLetsInItsShareWithHeadroomAndNoMore() {
        int entered = 0;
        while (gate.tryEnter("w", 80, 8)) {
            entered++;
        }

        assertThat(entered).isEqualTo(15);
        assertThat(gate.inProgress("w")).isEqualTo(15);
    }

    @Test
    void aRequestThatHasLeftMakesRoom() {
        assertThat(gate.tryEnter("w", 1, 100)).isTrue();
        assertThat(gate.tryEnter("w", 1, 100)).isFalse();

        gate.leave("w");

        assertThat(gate.tryEnter("w", 1, 100)).isTrue();
    }

    @Test
    void oneWorkspaceDoesNotUseUpAnothers() {
        while (gate.tryEnter("one", 10, 1)) {
            // fill it
        }

        assertThat(gate.tryEnter("other", 10, 1)).isTrue();
    }
}
