package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the values of the Retry-After header. */
final class RetryDelayTest {
    private static final int SAMPLES = 200;

    @ParameterizedTest
    @CsvSource({"0, 0.00", "4, 0.00", "5, 0.01", "99, 0.10", "1000, 1.00", "12345, 12.35", "60000, 60.00"})
    void secondsHaveTwoDecimalPlaces(long millis, String text) {
        assertThat(Refusals.seconds(millis)).isEqualTo(text);
    }

    /** Guards against times that callers do not honour, since they exceed a third of their remaining time. */
    @Test
    void theTimeOfAFullServiceIsAtMostAThirdOfTheCallersTime() {
        for (int sample = 0; sample < SAMPLES; sample++) {
            assertThat(Double.parseDouble(RetryDelay.header(5_000, 3_000))).isAtMost(1.0);
            assertThat(Double.parseDouble(RetryDelay.header(500, 60_000))).isAtLeast(0.5);
            assertThat(Double.parseDouble(RetryDelay.header(500, 60_000))).isAtMost(0.75);
        }
        assertThat(RetryDelay.header(500, -1)).isEqualTo("0.00");
    }
}
