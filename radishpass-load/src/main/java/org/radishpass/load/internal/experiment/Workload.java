package org.radishpass.load.internal.experiment;

import org.jspecify.annotations.Nullable;

/**
 * Load that one workspace generates.
 *
 * @param workspace the name of the workspace, whose API key is {@code demo-key-WORKSPACE}
 * @param kind the kind of requests: chat or order
 * @param model the model name for chats
 * @param service the service name for orders
 * @param perSecond the mean number of arrivals per second outside of a surge
 * @param chats the number of the workspace's concurrent chats
 * @param prefixTokens the number of tokens in the system prompt that all chats share
 * @param turnTokens the number of tokens in each user message
 * @param answerTokens the number of tokens in each answer
 * @param streamed whether answers are streamed; true if missing
 * @param returnsAffinity whether callers send back the affinity token of the chat's last answer; true if missing
 * @param surgeFrom the start of the surge, in seconds since load began
 * @param surgeTo the end of the surge, in seconds since load began
 * @param surgeFactor the factor by which the arrival rate grows during the surge; 0 without a surge
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
    /** Returns whether the requests are orders, not chats. */
    public boolean placesOrders() {
        return "order".equals(kind);
    }

    /** Returns whether answers are streamed. */
    public boolean streamsAnswers() {
        return streamed == null || streamed;
    }

    /** Returns whether callers send back the affinity token of the chat's last answer. */
    public boolean sendsAffinityToken() {
        return returnsAffinity == null || returnsAffinity;
    }

    /**
     * Returns the mean number of arrivals per second at a given time.
     *
     * @param second the time, in seconds since load began
     */
    public double rateAt(double second) {
        boolean surging = surgeFactor > 0 && second >= surgeFrom && second < surgeTo;
        return surging ? perSecond * surgeFactor : perSecond;
    }
}
