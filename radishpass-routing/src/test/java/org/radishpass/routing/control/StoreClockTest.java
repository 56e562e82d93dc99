package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checks that a time on the store's clock is never converted to a later time than it was, whatever delays the store's
 * responses.
 */
final class StoreClockTest {
    private static final long OFFSET_MILLIS = 123_456;

    private final StoreClock clock = new StoreClock();

    @Test
    void timeIsUnknownBeforeTheFirstResponse() {
        assertThat(clock.earliestLocalMillis(5, 100)).isEqualTo(StoreClock.UNKNOWN_MILLIS);
        clock.observed(100, 108, 104 - OFFSET_MILLIS);
        assertThat(clock.earliestLocalMillis(StoreClock.UNKNOWN_MILLIS, 200)).isEqualTo(StoreClock.UNKNOWN_MILLIS);
    }

    @Test
    void earliestTimeIsNeverLaterThanTheActualTime() {
        Random random = new Random(41);
        long nowMillis = 1_000_000;
        for (int read = 0; read < 2_000; read++) {
            nowMillis += random.nextInt(1_000);
            int requestMillis = random.nextInt(300);
            int responseMillis = random.nextInt(300);
            clock.observed(
                    nowMillis, nowMillis + requestMillis + responseMillis, nowMillis + requestMillis - OFFSET_MILLIS);
            nowMillis += requestMillis + responseMillis;
            long momentMillis = nowMillis - random.nextInt(5_000);
            assertThat(clock.earliestLocalMillis(momentMillis - OFFSET_MILLIS, nowMillis))
                    .isAtMost(momentMillis);
        }
        assertThat(clock.earliestLocalMillis(nowMillis - OFFSET_MILLIS, nowMillis))
                .isAtLeast(nowMillis - 50);
    }

    @Test
    void earliestTimeIsNotInTheFuture() {
        clock.observed(100, 100, 100 - OFFSET_MILLIS);
        assertThat(clock.earliestLocalMillis(900 - OFFSET_MILLIS, 200)).isEqualTo(200);
    }

    @Test
    void offsetIsReplacedAfterAJumpOfTheStoreClock() {
        clock.observed(1_000, 1_004, 1_002 - OFFSET_MILLIS);
        clock.observed(2_000, 2_004, 2);
        assertThat(clock.earliestLocalMillis(2, 2_004)).isEqualTo(2_000);
    }

    @Test
    void earliestTimeAccountsForClockDrift() {
        clock.observed(0, 0, 0);
        assertThat(clock.earliestLocalMillis(1_000_000, 1_000_000)).isEqualTo(999_800);
    }
}
