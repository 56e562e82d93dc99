package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that time in which the machine was suspended counts. A process that is stopped by a signal does not show it: its steady clock
 * goes on meanwhile, that of a suspended machine does not.
 */
final class SuspensionAwareClockTest {
    private static final long RESOLUTION_MILLIS = 10;

    private long steadyMillis = 1_000;
    private long timeOfDayMillis = 1_800_000_000_000L;
    private long bootMillis = 900_000;
    private boolean bootTimeKnown = true;
    private int bootTimeReadings;
    private final SuspensionAwareClock clock =
            new SuspensionAwareClock(() -> steadyMillis, () -> timeOfDayMillis, this::bootTime);

    @Test
    void aSuspensionCounts() {
        long before = clock.millis();
        suspended(3_000);
        pass(40);
        assertAbout(before + 3_040);
        suspended(700);
        pass(1);
        assertAbout(before + 3_741);
    }

    @ParameterizedTest
    @ValueSource(longs = {-86_400_000, -400, 400, 5_000, 86_400_000})
    void aTimeOfDayThatIsSetDoesNotCount(long stepMillis) {
        long before = clock.millis();
        timeOfDayMillis += stepMillis;
        pass(40);
        assertThat(clock.millis()).isEqualTo(before + 40);
        suspended(3_000);
        assertAbout(before + 3_040);
    }

    @Test
    void aTimeOfDayThatDriftsDoesNotCount() {
        long before = clock.millis();
        for (int step = 0; step < 1_000; step++) {
            pass(10);
            timeOfDayMillis++;
            clock.millis();
        }
        assertThat(clock.millis()).isEqualTo(before + 10_000);
    }

    @Test
    void withoutTheBootTimeNothingIsCountedThatMayHaveBeenSet() {
        bootTimeKnown = false;
        long before = clock.millis();
        suspended(3_000);
        assertThat(clock.millis()).isEqualTo(before);
    }

    @Test
    void theBootTimeIsReadOnlyAfterAJump() {
        for (int step = 0; step < 1_000; step++) {
            pass(1);
            clock.millis();
        }
        assertThat(bootTimeReadings).isEqualTo(1);
    }

    @Test
    void theClockOfThisProcessGoesOn() {
        long before = MonotonicClock.SYSTEM.millis();
        assertThat(MonotonicClock.SYSTEM.millis()).isAtLeast(before);
    }

    /** The boot time is told in steps, one at each of two readings. */
    private void assertAbout(long millis) {
        assertThat(Math.abs(clock.millis() - millis)).isAtMost(2 * RESOLUTION_MILLIS);
    }

    private void pass(long millis) {
        steadyMillis += millis;
        timeOfDayMillis += millis;
        bootMillis += millis;
    }

    private void suspended(long millis) {
        timeOfDayMillis += millis;
        bootMillis += millis;
    }

    private OptionalLong bootTime() {
        bootTimeReadings++;
        return bootTimeKnown
                ? OptionalLong.of(bootMillis / RESOLUTION_MILLIS * RESOLUTION_MILLIS)
                : OptionalLong.empty();
    }
}
