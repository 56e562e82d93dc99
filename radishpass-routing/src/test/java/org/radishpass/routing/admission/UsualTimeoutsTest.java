package org.radishpass.routing.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks how callers that return after a refusal are recognised. */
final class UsualTimeoutsTest {
    private static final long ROUTE_MILLIS = 15_000;

    private final UsualTimeouts timeouts = new UsualTimeouts();

    @Test
    void recognisesACallerThatWaitsClearlyLessThanOthers() {
        assertThat(timeouts.returned("orders", 2_600, ROUTE_MILLIS)).isFalse();
        assertThat(timeouts.returned("orders", 2_590, ROUTE_MILLIS)).isFalse();
        assertThat(timeouts.returned("orders", 1_800, ROUTE_MILLIS)).isTrue();
        assertThat(timeouts.returned("labels", 1_800, ROUTE_MILLIS)).isFalse();
    }

    /** Guards against regarding all callers as returned after the operator has shortened their time. */
    @Test
    void followsCallersThatWaitLessFromNowOn() {
        timeouts.returned("orders", 10_000, ROUTE_MILLIS);
        for (int request = 0; request < 2_000; request++) {
            timeouts.returned("orders", 2_600, ROUTE_MILLIS);
        }
        assertThat(timeouts.returned("orders", 2_600, ROUTE_MILLIS)).isFalse();
    }

    /** Guards against regarding all callers as returned because of one that states an hour. */
    @Test
    void countsNoMoreThanTheTimeoutOfTheRoute() {
        timeouts.returned("orders", 3_600_000, 2_600);
        assertThat(timeouts.returned("orders", 2_600, 2_600)).isFalse();
        assertThat(timeouts.returned("orders", 1_800, 2_600)).isTrue();
    }
}
