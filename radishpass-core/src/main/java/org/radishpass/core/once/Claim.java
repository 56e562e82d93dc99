package org.radishpass.core.once;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * What the platform's store remembers of a non-idempotent request.
 *
 * @param token unique to the attempt that wrote the claim; its writer knows it by this
 * @param requestHash the hash of what was asked, to tell a reused key
 * @param state how far it is
 * @param claimedAt when it was claimed, by its writer's clock
 * @param status the HTTP status of the answer, once done
 * @param contentType the type of the answer, once done
 * @param body the answer in Base64, once done
 * @since 0.1.0
 */
public record Claim(
        String token,
        String requestHash,
        State state,
        Instant claimedAt,
        @Nullable Integer status,
        @Nullable String contentType,
        @Nullable String body) {
    /**
     * How far a claimed request is.
     *
     * @since 0.1.0
     */
    public enum State {
        /** Claimed; it may run, or may have run. */
        CLAIMED,
        /** It ran and its answer is known. */
        DONE
    }

    /**
     * Returns a new claim.
     *
     * @param token unique to this attempt
     * @param requestHash the hash of what is asked
     * @param now the time by this process's clock
     */
    public static Claim open(String token, String requestHash, Instant now) {
        return new Claim(token, requestHash, State.CLAIMED, now, null, null, null);
    }

    /**
     * Returns this claim with its answer.
     *
     * @param answerStatus the HTTP status
     * @param answerType the content type, if it had one
     * @param answerBody the body in Base64
     */
    public Claim done(int answerStatus, @Nullable String answerType, String answerBody) {
        return new Claim(token, requestHash, State.DONE, claimedAt, answerStatus, answerType, answerBody);
    }

    /**
     * Decides what a request that found this claim may do.
     *
     * @param ownToken the token of the attempt that asks
     * @param ownHash the hash of what it asks
     */
    public ClaimDecision decide(String ownToken, String ownHash) {
        if (!requestHash.equals(ownHash)) {
            return new ClaimDecision.KeyReused();
        }
        if (state == State.DONE) {
            return new ClaimDecision.Replay(this);
        }
        return token.equals(ownToken) ? new ClaimDecision.Run() : new ClaimDecision.InProgress();
    }
}
