package org.radishpass.load.internal.experiment;

import org.jspecify.annotations.Nullable;

/**
 * One workspace's load.
 *
 * @param workspace who asks; its key is {@code demo-key-WORKSPACE}
 * @param kind chat or order
 * @param model the model, for chats
 * @param service the service, for orders
 * @param perSecond the arrivals a second
 * @param chats how many chats return
 * @param prefixTokens the tokens of the prompt that all its chats share
 * @param turnTokens the tokens of each turn of the user
 * @param answerTokens the tokens of each answer
 * @param streamed whether answers are streamed; they are if this is left out
 * @param returnsAffinity whether callers bring the affinity token back; they do if this is left out
 * @param surgeFrom when a surge begins, in seconds
 * @param surgeTo when it ends, in seconds
 * @param surgeFactor how many times the arrivals grow
 * @since 0.1.0
 */
public record Workload(
        String workspace,
        String kind,
        @Nullable String model,
        @Nullable String service,
        double perSecond,
        int chats,
        int prefixTokens,
        int turnTokens,
        int answerTokens,
        @Nullable Boolean streamed,
        @Nullable Boolean returnsAffinity,
        double surgeFrom,
        double surgeTo,
        double surgeFactor) {
    /** Tells whether this places orders. */
    public boolean orders() {
        return "order".equals(kind);
    }

    /** Tells whether answers are streamed. */
    public boolean streams() {
        return streamed == null || streamed;
    }

    /** Tells whether callers bring the affinity token back. */
    public boolean bringsAffinity() {
        return returnsAffinity == null || returnsAffinity;
    }

    /**
     * Returns the arrivals a second at a time.
     *
     * @param second seconds since the start
     */
    public double rateAt(double second) {
        boolean surging = surgeFactor > 0 && second >= surgeFrom && second < surgeTo;
        return surging ? perSecond * surgeFactor : perSecond;
    }
}
