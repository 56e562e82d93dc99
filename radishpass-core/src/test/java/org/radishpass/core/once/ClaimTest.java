package org.radishpass.core.once;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Checks what an attempt may do when it finds a claim on its request. */
final class ClaimTest {
    private final Claim claim = Claim.open("token", "hash", Instant.EPOCH);

    @Test
    void theAttemptThatWroteTheClaimMayRun() {
        assertThat(claim.decide("token", "hash")).isInstanceOf(ClaimDecision.Run.class);
    }

    @Test
    void anotherAttemptMayNotRunWhileTheClaimIsOpen() {
        assertThat(claim.decide("other", "hash")).isInstanceOf(ClaimDecision.InProgress.class);
    }

    @Test
    void theResponseOfADoneRequestIsReplayedToAnyAttempt() {
        Claim done = claim.done(201, "application/json", "e30=");

        assertThat(done.decide("token", "hash")).isInstanceOf(ClaimDecision.Replay.class);
        assertThat(done.decide("other", "hash")).isInstanceOf(ClaimDecision.Replay.class);
    }

    @Test
    void aKeyReusedForADifferentRequestIsRefused() {
        assertThat(claim.decide("other", "different")).isInstanceOf(ClaimDecision.KeyReused.class);
    }
}
