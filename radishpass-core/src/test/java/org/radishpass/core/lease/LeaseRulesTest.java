package org.radishpass.core.lease;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Checks the rules that keep the orders of two lease holders from overlapping. */
final class LeaseRulesTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final LeaseRules RULES = LeaseRules.DEFAULT;

    @Test
    void aLeaseMayBeTakenOnlyAfterItsDeadlineAndTheMaximumClockDifference() {
        Lease lease = new Lease("one", 1, NOW);

        assertThat(RULES.mayTake(lease, NOW.plus(RULES.clockBound()))).isFalse();
        assertThat(RULES.mayTake(lease, NOW.plus(RULES.clockBound()).plusNanos(1)))
                .isTrue();
    }

    @Test
    void aReleasedLeaseMayBeTakenAtOnce() {
        assertThat(RULES.mayTake(new Lease("", 4, NOW.plusSeconds(60)), NOW)).isTrue();
    }

    @Test
    void aTermOfTwiceTheOrderLifetimeIsRejected() {
        Duration second = Duration.ofSeconds(1);

        assertThrows(IllegalArgumentException.class, () -> new LeaseRules(second.multipliedBy(2), second, second));
    }

    /**
     * Guards against overlapping orders of two holders after a process pause and with clocks that differ up to the
     * maximum.
     */
    @Property(seed = "48")
    void ordersOfTheOldHolderExpireBeforeAnotherProcessMayTakeTheLease(
            @ForAll @LongRange(min = 0, max = 60_000) long pausedMillis,
            @ForAll @LongRange(min = -2_000, max = 2_000) long clockDifferenceMillis) {
        Instant deadline = RULES.deadlineFrom(NOW);
        long sentAt = Duration.ofMillis(pausedMillis).toNanos();
        if (!RULES.maySendOrder(0, sentAt)) {
            return;
        }
        Instant orderExpires = NOW.plusNanos(sentAt).plus(RULES.orderLife());
        Instant orderExpiresByOtherClock = orderExpires.plusMillis(clockDifferenceMillis);

        assertThat(RULES.mayTake(new Lease("one", 1, deadline), orderExpiresByOtherClock))
                .isFalse();
    }
}
