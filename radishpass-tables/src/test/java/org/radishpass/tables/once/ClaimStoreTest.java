package org.radishpass.tables.once;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.radishpass.core.once.Claim;
import org.radishpass.core.once.ClaimDecision;
import org.radishpass.tables.testing.FakeTables;
import org.radishpass.tables.testing.FakeTables.Fault;

/** Checks that at most one of several claims of a request is granted, also when writes to the store fail. */
final class ClaimStoreTest {
    private final FakeTables tables = new FakeTables();
    private final ClaimStore claims = new ClaimStore(tables);

    @Test
    void onlyTheFirstOfTwoClaimsMayRun() {
        assertThat(claim("one")).isInstanceOf(ClaimDecision.Run.class);
        assertThat(claim("two")).isInstanceOf(ClaimDecision.InProgress.class);
    }

    @Test
    void aClaimWithALostResponseIsRecognizedByItsToken() {
        tables.setFaultsOfNextWrites(Fault.ANSWER_LOST);

        assertThat(claim("one")).isInstanceOf(ClaimDecision.Run.class);
        assertThat(claim("two")).isInstanceOf(ClaimDecision.InProgress.class);
    }

    @Test
    void aClaimLostOnTheWayMayNotRun() {
        tables.setFaultsOfNextWrites(Fault.REQUEST_LOST);

        assertThat(claim("one")).isInstanceOf(ClaimDecision.Unavailable.class);
        assertThat(claim("two")).isInstanceOf(ClaimDecision.Run.class);
    }

    @Test
    void aDelayedClaimDoesNotReplaceALaterOne() {
        tables.setFaultsOfNextWrites(Fault.DELAYED);
        assertThat(claim("one")).isInstanceOf(ClaimDecision.Unavailable.class);
        assertThat(claim("two")).isInstanceOf(ClaimDecision.Run.class);

        tables.commitDelayedWrites();

        assertThat(claim("three")).isInstanceOf(ClaimDecision.InProgress.class);
    }

    @Test
    void noRequestMayRunDuringAStoreOutage() {
        tables.setOutage(true);

        assertThat(claim("one")).isInstanceOf(ClaimDecision.Unavailable.class);
    }

    @Test
    void aFinishedClaimReplaysItsStoredResponse() {
        Claim own = open("one");
        claims.claim("key", own).block();
        claims.finish("key", own.done(201, null, "e30=")).block();

        assertThat(claim("two")).isInstanceOf(ClaimDecision.Replay.class);
    }

    @Test
    void onlyTheOwnerCanWithdrawAClaimWhichThenMayBeClaimedAgain() {
        claim("one");

        assertThat(claims.withdraw("key", open("two")).block()).isFalse();
        assertThat(claims.withdraw("key", open("one")).block()).isTrue();
        assertThat(claim("two")).isInstanceOf(ClaimDecision.Run.class);
    }

    private ClaimDecision claim(String token) {
        return Objects.requireNonNull(claims.claim("key", open(token)).block());
    }

    private static Claim open(String token) {
        return Claim.open(token, "hash", Instant.EPOCH);
    }
}
