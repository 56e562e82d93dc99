package org.radishpass.routing.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the measured rate of starts. */
final class StartRateTest {
    /** Guards against refusing all waiting requests after a suspension of the machine or a stall of 2 s. */
    @Test
    void keepsMostOfTheRateAfterAStall() {
        StartRate rate = new StartRate();
        for (int iteration = 0; iteration < 250; iteration++) {
            rate.record(1, 20);
        }
        rate.record(1, 2_000);
        assertThat(rate.perSecond()).isAtLeast(35.0);
    }
}
