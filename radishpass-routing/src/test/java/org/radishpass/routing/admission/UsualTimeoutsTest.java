package org.radishpass.routing.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks how callers that return after a refusal are recognised. */
final class UsualTimeoutsTest {
    private final UsualTimeouts timeouts = new UsualTimeouts();

    @Test
    void recognisesACallerThatWaitsClearlyLessThanOthers() {
        assertThat(timeouts.returned("orders", 2_600)).isFalse();
        assertThat(timeouts.returned("orders", 2_590)).isFalse();
        assertThat(timeouts.returned("orders", 1_800)).isTrue();
        assertThat(timeouts.returned("labels", 1_800)).isFalse();
    }

    /** Guards against regarding all callers as returned after the operator has shortened their time. */
    @Test
    void followsCallersThatWaitLessFromNowOn() {
        timeouts.returned("orders", 10_000);
        for (int request = 0; request < 2_000; request++) {
            timeouts.returned("orders", 2_600);
        }
        assertThat(timeouts.returned("orders", 2_600)).isFalse();
    }
}
