package org.radishpass.load.internal.drive;

import org.jspecify.annotations.Nullable;

/**
 * Result of a request, or of a single attempt at a request.
 *
 * @param arrival the request
 * @param outcome the kind of result
 * @param verdict the verdict of a refusal, or null without a refusal
 * @param code the error code of a refusal, or null without a refusal
 * @param attempts the number of attempts so far
 * @param firstTokenNanos the time from when the request was due to its first token; equals the total time if no part
 *     of a stream arrived
 * @param totalNanos the time from when the request was due to its end
 * @param duplicateTokens the number of tokens that arrived more than once
 * @since 0.1.0
 */
public record RequestResult(
        Arrival arrival,
        Outcome outcome,
        @Nullable String verdict,
        @Nullable String code,
        int attempts,
        long firstTokenNanos,
        long totalNanos,
        int duplicateTokens) {
    /**
     * The kinds of results.
     *
     * @since 0.1.0
     */
    public enum Outcome {
        /** The complete answer to the request. */
        ANSWERED,
        /** A refusal. */
        REFUSED,
        /** An accepted request whose answer is incomplete. */
        CUT,
        /** An answer to another request. */
        CROSSED,
        /** No response. */
        LOST
    }
}
