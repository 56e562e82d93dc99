package org.radishpass.core.once;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Checks what an attempt may do when it finds a claim. */
final class ClaimTest {
    private final Claim claim = Claim.open("token", "hash", Instant.EPOCH);

    @Test
    void itsWriterMayRun() {
        assertThat(claim.decide("token", "hash")).isInstanceOf(ClaimDecision.Run.class);
    }

    @Test
    void anotherMayNot() {
        assertThat(claim.decide("other", "hash")).isInstanceOf(ClaimDecision.InProgress.class);
    }

    @Test
    void aDoneRequestIsAnsweredAgainEvenToItsWriter() {
        Claim done = claim.done(201, "application/json", "e30=");

        assertThat(done.decide("token", "hash")).isInstanceOf(ClaimDecision.Replay.class);
        assertThat(done.decide("other", "hash")).isInstanceOf(ClaimDecision.Replay.class);
    }

    @Test
    void aKeyThatStandsForSomethingElseIsRefused() {
        assertThat(claim.decide("other", "different")).isInstanceOf(ClaimDecision.KeyReused.class);
    }
}
