package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks that a moment of the store's clock is never placed later than it was, whatever delays the store's answers. */
final class StoreClockTest {
    private static final long OFFSET_MILLIS = 123_456;

    private final StoreClock clock = new StoreClock();

    @Test
    void beforeAnAnswerNoMomentIsKnown() {
        assertThat(clock.earliest(5, 100)).isEqualTo(StoreClock.NEVER);
        clock.observed(100, 108, 104 - OFFSET_MILLIS);
        assertThat(clock.earliest(StoreClock.NEVER, 200)).isEqualTo(StoreClock.NEVER);
    }

    @Test
    void noMomentIsPlacedLaterThanItWas() {
        Random random = new Random(41);
        long now = 1_000_000;
        for (int reading = 0; reading < 2_000; reading++) {
            now += random.nextInt(1_000);
            int toStore = random.nextInt(300);
            int back = random.nextInt(300);
            clock.observed(now, now + toStore + back, now + toStore - OFFSET_MILLIS);
            now += toStore + back;
            long moment = now - random.nextInt(5_000);
            assertThat(clock.earliest(moment - OFFSET_MILLIS, now)).isAtMost(moment);
        }
        assertThat(clock.earliest(now - OFFSET_MILLIS, now)).isAtLeast(now - 50);
    }

    @Test
    void aMomentInTheFutureIsNow() {
        clock.observed(100, 100, 100 - OFFSET_MILLIS);
        assertThat(clock.earliest(900 - OFFSET_MILLIS, 200)).isEqualTo(200);
    }

    @Test
    void aClockThatJumpsIsLearntAnew() {
        clock.observed(1_000, 1_004, 1_002 - OFFSET_MILLIS);
        clock.observed(2_000, 2_004, 2);
        assertThat(clock.earliest(2, 2_004)).isEqualTo(2_000);
    }

    @Test
    void theBoundGrowsWiderAsTheClocksMayDriftApart() {
        clock.observed(0, 0, 0);
        assertThat(clock.earliest(1_000_000, 1_000_000)).isEqualTo(999_800);
    }
}
