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

/** Checks that of all controllers at most one may order an endpoint at a time. */
final class ShareLeasesTest {
    private static final LeaseRules RULES = LeaseRules.DEFAULT;
    private static final String ENGINE = "engine-1";

    private final FakeTables tables = new FakeTables();
    private final Time time = new Time();
    private final ShareLeases one = leases("one");
    private final ShareLeases two = leases("two");

    @Test
    void aLoneControllerTakesAllShares() {
        one.round().block();

        assertThat(one.heldShares()).hasSize(ShareLeases.SHARES);
        assertThat(one.epochFor(ENGINE)).hasValue(1);
    }

    @Test
    void aSecondOneTakesNothingWhileTheFirstRenews() {
        one.round().block();
        for (int i = 0; i < 20; i++) {
            time.pass(Duration.ofSeconds(2));
            one.round().block();
            two.round().block();
        }

        assertThat(two.heldShares()).isEmpty();
        assertThat(one.epochFor(ENGINE)).hasValue(1);
    }

    @Test
    void aPausedHolderMayNotOrderAndItsSharesGoOnWithAHigherEpoch() {
        one.round().block();
        time.pass(RULES.term().minus(RULES.orderLife()));
        assertThat(one.epochFor(ENGINE)).isEmpty();
        two.round().block();
        assertThat(two.epochFor(ENGINE)).isEmpty();

        time.pass(RULES.orderLife().plus(RULES.clockBound()).plusMillis(1));
        two.round().block();

        assertThat(two.epochFor(ENGINE)).hasValue(2);
        assertThat(one.epochFor(ENGINE)).isEmpty();
    }

    @Test
    void aHolderThatWakesAndFindsAnotherGivesUp() {
        one.round().block();
        time.pass(RULES.term().plus(RULES.clockBound()).plusMillis(1));
        two.round().block();

        one.round().block();

        assertThat(one.heldShares()).isEmpty();
    }

    @Test
    void withTheStoreAwayNothingIsOrderedOnceTheLeaseRunsOut() {
        one.round().block();
        tables.out(true);
        time.pass(Duration.ofSeconds(8));
        one.round().block();
        assertThat(one.epochFor(ENGINE)).hasValue(1);

        time.pass(Duration.ofSeconds(1));
        one.round().block();

        assertThat(one.epochFor(ENGINE)).isEmpty();
    }

    @Test
    void aRenewalWhoseAnswerIsLostDoesNotCountAsHeld() {
        one.round().block();
        time.pass(Duration.ofSeconds(8));
        tables.nextWrites(Fault.ANSWER_LOST);
        one.round().block();
        time.pass(Duration.ofSeconds(1));
        assertThat(one.epochFor(ENGINE)).isEmpty();

        one.round().block();

        assertThat(one.epochFor(ENGINE)).isPresent();
    }

    @Test
    void leasesThatAreGivenBackAreTakenAtOnce() {
        one.round().block();
        one.giveBack().block();

        two.round().block();

        assertThat(two.epochFor(ENGINE)).hasValue(2);
    }

    private ShareLeases leases(String holder) {
        return new ShareLeases(holder, new DataCentre("here"), tables, RULES, time, time::nanos);
    }

    /** A clock that passes only when told to. */
    private static final class Time extends Clock {
        private Instant now = Instant.parse("2026-01-01T00:00:00Z");

        private void pass(Duration duration) {
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
