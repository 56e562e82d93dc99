package org.radishpass.routing.connection;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which requests may be sent on a connection that has been used. */
final class CarriedRequestsTest {
    private final CarriedRequests carried = new CarriedRequests();

    @Test
    void aNewConnectionMayCarryAnyRequest() {
        assertThat(carried.mayBeConfused("")).isFalse();
        assertThat(carried.mayBeConfused("a")).isFalse();
    }

    @Test
    void anIdIsRememberedAndARequestWithoutOneIsNeverToldApart() {
        carried.add("a");
        assertThat(carried.mayBeConfused("a")).isTrue();
        assertThat(carried.mayBeConfused("b")).isFalse();
        assertThat(carried.mayBeConfused("")).isTrue();
    }

    @Test
    void theLatestIdsAreRemembered() {
        for (int number = 0; number <= CarriedRequests.MAX_IDS; number++) {
            carried.add("r" + number);
        }
        assertThat(carried.mayBeConfused("r0")).isFalse();
        assertThat(carried.mayBeConfused("r1")).isTrue();
    }
}
