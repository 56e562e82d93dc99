package org.radishpass.routing.connection;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

/** Tests when connections to an endpoint that sent unsolicited bytes may be reused. */
final class ReuseSuspensionTest {
    private static final long START = 10_000;

    private final ReuseSuspension suspension = new ReuseSuspension();

    @Test
    void connectionsAreReusedWithoutLimitAtFirst() {
        assertThat(suspension.suspended(START)).isFalse();
        assertThat(suspension.mayReuse(false, START)).isTrue();
    }

    @Test
    void reuseIsTriedGraduallyAfterTheDeadline() {
        for (boolean retryable : new boolean[] {true, false}) {
            ReuseSuspension tried = new ReuseSuspension();
            tried.unsolicitedBytes(START);
            long end = START + ReuseSuspension.INITIAL_MILLIS;
            assertThat(tried.suspended(end - 1)).isTrue();
            assertThat(tried.mayReuse(retryable, end - 1)).isFalse();
            long due = end + (retryable ? 0 : ReuseSuspension.TRIAL_INTERVAL_MILLIS);
            for (int trial = 0; trial < ReuseSuspension.TRIALS; trial++) {
                assertWithMessage("%s", trial)
                        .that(tried.mayReuse(retryable, due - 1))
                        .isFalse();
                assertWithMessage("%s", trial)
                        .that(tried.mayReuse(retryable, due))
                        .isTrue();
                due += ReuseSuspension.TRIAL_INTERVAL_MILLIS * (retryable ? 1 : 2);
            }
            assertThat(tried.mayReuse(false, due - 1)).isTrue();
        }
    }

    @Test
    void theSuspensionDoublesUpToItsMaximumWhileTrialsFail() {
        long now = START;
        long length = ReuseSuspension.INITIAL_MILLIS;
        for (int round = 0; round < 10; round++) {
            suspension.unsolicitedBytes(now);
            assertThat(suspension.suspended(now + length - 1)).isTrue();
            assertThat(suspension.suspended(now + length)).isFalse();
            now += length;
            assertThat(suspension.mayReuse(true, now)).isTrue();
            length = Math.min(ReuseSuspension.MAX_MILLIS, 2 * length);
        }
    }

    @Test
    void bytesDuringASuspensionProlongIt() {
        suspension.unsolicitedBytes(START);
        long last = START + ReuseSuspension.INITIAL_MILLIS - 1;
        suspension.unsolicitedBytes(last);
        assertThat(suspension.suspended(last + ReuseSuspension.INITIAL_MILLIS - 1))
                .isTrue();
        assertThat(suspension.suspended(last + ReuseSuspension.INITIAL_MILLIS)).isFalse();
    }

    @Test
    void theSuspensionIsShortAgainAfterAQuietTime() {
        suspension.unsolicitedBytes(START);
        long later = START + ReuseSuspension.INITIAL_MILLIS + ReuseSuspension.MAX_MILLIS + 1;
        suspension.unsolicitedBytes(later);
        assertThat(suspension.suspended(later + ReuseSuspension.INITIAL_MILLIS)).isFalse();
    }
}
