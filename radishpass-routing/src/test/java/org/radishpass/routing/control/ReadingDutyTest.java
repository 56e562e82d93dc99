package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks who reads the store, and how long a failing one is left alone. */
final class ReadingDutyTest {
    @ParameterizedTest
    @CsvSource({"0, ALL", "1, CONFIGURATION", "2, CONFIGURATION", "3, NONE", "50, NONE"})
    void theFirstReadsAllAndTwoMoreTheConfiguration(long before, ReadingDuty duty) {
        assertThat(ReadingDuty.behind(before)).isEqualTo(duty);
    }

    @Test
    void pausesGrowToABoundAndStartAnewAfterAnAnswer() {
        RetryPause pause = new RetryPause();
        long first = pause.next().toMillis();
        assertThat(first).isAtLeast(350);
        assertThat(first).isLessThan(440);
        for (int failure = 0; failure < 10; failure++) {
            assertThat(pause.next().toMillis()).isAtMost(2_500);
        }
        assertThat(pause.next().toMillis()).isAtLeast(2_000);
        pause.reset();
        assertThat(pause.next().toMillis()).isLessThan(440);
    }
}
