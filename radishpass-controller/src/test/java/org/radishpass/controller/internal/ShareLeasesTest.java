package org.radishpass.controller.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.lease.LeaseRules;
import org.radishpass.tables.testing.FakeTables;
import org.radishpass.tables.testing.FakeTables.Fault;

/** Tests that at most one controller at a time may send orders to an endpoint. */
final class ShareLeasesTest {
    private static final LeaseRules RULES = LeaseRules.DEFAULT;
    private static final String ENGINE = "engine-1";

    private final FakeTables tables = new FakeTables();
    private final ManualClock clock = new ManualClock();
    private final ShareLeases first = leases("one");
    private final ShareLeases second = leases("two");

    @Test
    void singleControllerAcquiresAllShares() {
        first.runRound().block();

        assertThat(first.heldShares()).hasSize(ShareLeases.SHARE_COUNT);
        assertThat(first.epochFor(ENGINE)).hasValue(1);
    }

    @Test
    void secondControllerAcquiresNothingWhileTheFirstRenews() {
        first.runRound().block();
        for (int i = 0; i < 20; i++) {
            clock.advance(Duration.ofSeconds(2));
            first.runRound().block();
            second.runRound().block();
        }

        assertThat(second.heldShares()).isEmpty();
        assertThat(first.epochFor(ENGINE)).hasValue(1);
    }

    @Test
    void expiredLeasePassesOnWithAHigherEpoch() {
        first.runRound().block();
        clock.advance(RULES.term().minus(RULES.orderLife()));
        assertThat(first.epochFor(ENGINE)).isEmpty();
        second.runRound().block();
        assertThat(second.epochFor(ENGINE)).isEmpty();

        clock.advance(RULES.orderLife().plus(RULES.clockBound()).plusMillis(1));
        second.runRound().block();

        assertThat(second.epochFor(ENGINE)).hasValue(2);
        assertThat(first.epochFor(ENGINE)).isEmpty();
    }

    @Test
    void resumedHolderDropsSharesThatAnotherHolds() {
        first.runRound().block();
        clock.advance(RULES.term().plus(RULES.clockBound()).plusMillis(1));
        second.runRound().block();

        first.runRound().block();

        assertThat(first.heldShares()).isEmpty();
    }

    @Test
    void noOrdersAfterTheLeaseExpiresDuringAStoreOutage() {
        first.runRound().block();
        tables.setOutage(true);
        clock.advance(Duration.ofSeconds(8));
        first.runRound().block();
        assertThat(first.epochFor(ENGINE)).hasValue(1);

        clock.advance(Duration.ofSeconds(1));
        first.runRound().block();

        assertThat(first.epochFor(ENGINE)).isEmpty();
    }

    @Test
    void renewalWithLostReplyDoesNotExtendTheLease() {
        first.runRound().block();
        clock.advance(Duration.ofSeconds(8));
        tables.setFaultsOfNextWrites(Fault.ANSWER_LOST);
        first.runRound().block();
        clock.advance(Duration.ofSeconds(1));
        assertThat(first.epochFor(ENGINE)).isEmpty();

        first.runRound().block();

        assertThat(first.epochFor(ENGINE)).isPresent();
    }

    @Test
    void releasedLeasesCanBeAcquiredAtOnce() {
        first.runRound().block();
        first.releaseAll().block();

        second.runRound().block();

        assertThat(second.epochFor(ENGINE)).hasValue(2);
    }

    private ShareLeases leases(String holder) {
        return new ShareLeases(holder, new DataCentre("here"), tables, RULES, clock, clock::nanos);
    }

    /** A clock that advances only by explicit calls. */
    private static final class ManualClock extends Clock {
        private Instant now = Instant.parse("2026-01-01T00:00:00Z");

        private void advance(Duration duration) {
            now = now.plus(duration);
        }

        private long nanos() {
            return Duration.between(Instant.EPOCH, now).toNanos();
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return now;
        }
    }
}
