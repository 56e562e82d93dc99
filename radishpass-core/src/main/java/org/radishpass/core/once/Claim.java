package org.radishpass.core.once;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * The record of a non-idempotent request in the platform's store.
 *
 * @param token a value that is unique to the attempt that wrote the claim, and by which this attempt recognizes the
 *     claim
 * @param requestHash the hash of the request, by which the reuse of an idempotency key for another request is detected
 * @param state the progress of the request
 * @param claimedAt the time at which the claim was written, by the clock of its writer
 * @param status the HTTP status of the response; null until the request is done
 * @param contentType the content type of the response, if it has one; null until the request is done
 * @param body the body of the response in Base64; null until the request is done
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
     * The progress of a claimed request.
     *
     * @since 0.1.0
     */
    public enum State {
        /** The request may be running or may have run. */
        CLAIMED,
        /** The request ran and its response is recorded. */
        DONE
    }

    /**
     * Returns a new claim in state {@link State#CLAIMED}.
     *
     * @param token a value that is unique to this attempt
     * @param requestHash the hash of the request
     * @param now the current time by this process's clock
     */
    public static Claim open(String token, String requestHash, Instant now) {
        return new Claim(token, requestHash, State.CLAIMED, now, null, null, null);
    }

    /**
     * Returns this claim in state {@link State#DONE}, with the response to the request.
     *
     * @param answerStatus the HTTP status of the response
     * @param answerType the content type of the response, if it has one
     * @param answerBody the body of the response in Base64
     */
    public Claim done(int answerStatus, @Nullable String answerType, String answerBody) {
        return new Claim(token, requestHash, State.DONE, claimedAt, answerStatus, answerType, answerBody);
    }

    /**
     * Decides what an attempt that found this claim may do.
     *
     * @param ownToken the token of the attempt
     * @param ownHash the hash of the attempt's request
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
