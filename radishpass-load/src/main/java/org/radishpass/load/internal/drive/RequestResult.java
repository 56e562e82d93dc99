package org.radishpass.load.internal.drive;

import org.jspecify.annotations.Nullable;

/**
 * What a caller received for one request.
 *
 * @param arrival the request
 * @param outcome what it was
 * @param verdict the verdict of a refusal
 * @param code the code of a refusal
 * @param tries how often it was sent
 * @param firstTokenNanos from the time it was due to its first token; 0 without one
 * @param doneNanos from the time it was due to its end
 * @param doubledTokens tokens that came twice
 * @since 0.1.0
 */
public record Result(
        Arrival arrival,
        Outcome outcome,
        @Nullable String verdict,
        @Nullable String code,
        int tries,
        long firstTokenNanos,
        long doneNanos,
        int doubledTokens) {
    /**
     * The kinds of what a caller receives.
     *
     * @since 0.1.0
     */
    public enum Outcome {
        /** The whole answer to its own request. */
        ANSWERED,
        /** A refusal. */
        REFUSED,
        /** An answer that broke off. */
        CUT,
        /** Somebody else's answer. */
        CROSSED,
        /** Nothing. */
        LOST
    }
}
