package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that the clock includes the time in which the machine was suspended. Stopping the process by a signal does not
 * simulate a suspension, because the steady clock of a stopped process continues and that of a suspended machine does
 * not.
 */
final class SuspensionAwareClockTest {
    private static final long RESOLUTION_MILLIS = 10;

    private long steadyMillis = 1_000;
    private long wallClockMillis = 1_800_000_000_000L;
    private long uptimeMillis = 900_000;
    private boolean uptimeKnown = true;
    private int uptimeReads;
    private final SuspensionAwareClock clock =
            new SuspensionAwareClock(() -> steadyMillis, () -> wallClockMillis, this::readUptime);

    @Test
    void includesSuspensions() {
        long before = clock.millis();
        suspend(3_000);
        advance(40);
        assertAbout(before + 3_040);
        suspend(700);
        advance(1);
        assertAbout(before + 3_741);
    }

    @ParameterizedTest
    @ValueSource(longs = {-86_400_000, -400, 400, 5_000, 86_400_000})
    void ignoresChangesOfTheWallClock(long stepMillis) {
        long before = clock.millis();
        wallClockMillis += stepMillis;
        advance(40);
        assertThat(clock.millis()).isEqualTo(before + 40);
        suspend(3_000);
        assertAbout(before + 3_040);
    }

    @Test
    void ignoresDriftOfTheWallClock() {
        long before = clock.millis();
        for (int step = 0; step < 1_000; step++) {
            advance(10);
            wallClockMillis++;
            clock.millis();
        }
        assertThat(clock.millis()).isEqualTo(before + 10_000);
    }

    @Test
    void ignoresJumpsIfTheUptimeIsUnknown() {
        uptimeKnown = false;
        long before = clock.millis();
        suspend(3_000);
        assertThat(clock.millis()).isEqualTo(before);
    }

    @Test
    void readsTheUptimeOnlyAfterAJump() {
        for (int step = 0; step < 1_000; step++) {
            advance(1);
            clock.millis();
        }
        assertThat(uptimeReads).isEqualTo(1);
    }

    @Test
    void theSystemClockDoesNotGoBackwards() {
        long before = MonotonicClock.SYSTEM.millis();
        assertThat(MonotonicClock.SYSTEM.millis()).isAtLeast(before);
    }

    /** Allows for one step of the uptime resolution at each of the two readings. */
    private void assertAbout(long millis) {
        assertThat(Math.abs(clock.millis() - millis)).isAtMost(2 * RESOLUTION_MILLIS);
    }

    private void advance(long millis) {
        steadyMillis += millis;
        wallClockMillis += millis;
        uptimeMillis += millis;
    }

    private void suspend(long millis) {
        wallClockMillis += millis;
        uptimeMillis += millis;
    }

    private OptionalLong readUptime() {
        uptimeReads++;
        return uptimeKnown
                ? OptionalLong.of(uptimeMillis / RESOLUTION_MILLIS * RESOLUTION_MILLIS)
                : OptionalLong.empty();
    }
}
