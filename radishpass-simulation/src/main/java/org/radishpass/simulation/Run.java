package org.radishpass.simulation;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** One execution of a request at one endpoint. */
final class Run {
    private final RequestClass requestClass;
    private final List<CachedPart> parts;
    private final int promptTokens;
    private final int outputTokens;
    private final double workMillis;
    private final @Nullable SimulatedEngine cacheHolder;
    private final Listener listener;
    private int unreadTokens;
    private int generatedTokens;
    private boolean ended;

    /**
     * Creates a run that has not been started.
     *
     * @param requestClass the class of the request
     * @param parts the parts of the prompt, in order; the last part belongs to this request only
     * @param outputTokens the number of tokens that the engine generates
     * @param workMillis the processing time at a plain service, in milliseconds
     * @param cacheHolder an engine that the cached prompt may be fetched from, or null
     * @param listener is told when the answer begins and ends, and when the endpoint rejects the run
     */
    Run(
            RequestClass requestClass,
            List<CachedPart> parts,
            int outputTokens,
            double workMillis,
            @Nullable SimulatedEngine cacheHolder,
            Listener listener) {
        this.requestClass = requestClass;
        this.parts = List.copyOf(parts);
        this.promptTokens = parts.stream().mapToInt(CachedPart::tokens).sum();
        this.outputTokens = outputTokens;
        this.workMillis = workMillis;
        this.cacheHolder = cacheHolder;
        this.listener = listener;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    List<CachedPart> parts() {
        return parts;
    }

    long memoryTokens() {
        return promptTokens + (long) outputTokens;
    }

    double workMillis() {
        return workMillis;
    }

    @Nullable
    SimulatedEngine cacheHolder() {
        return cacheHolder;
    }

    void unreadTokens(int tokens) {
        unreadTokens = tokens;
    }

    /** Marks up to a number of unread prompt tokens as read, and returns how many were marked. */
    int readPrompt(int maxTokens) {
        int readNow = Math.min(maxTokens, unreadTokens);
        unreadTokens -= readNow;
        return readNow;
    }

    boolean wholePromptRead() {
        return unreadTokens == 0;
    }

    /** Generates one token. The first token begins the answer, and the last token ends the answer. */
    void generateToken() {
        generatedTokens++;
        if (generatedTokens == 1) {
            listener.answerBegan();
        }
        if (generatedTokens >= outputTokens) {
            endAnswer();
        }
    }

    void beginAnswer() {
        listener.answerBegan();
    }

    void endAnswer() {
        if (!ended) {
            ended = true;
            listener.answerEnded();
        }
    }

    /**
     * Ends this run because the endpoint rejects it.
     *
     * @param backoffMillis the endpoint's Retry-After, in milliseconds; 0 if the endpoint sends none
     */
    void reject(long backoffMillis) {
        ended = true;
        listener.rejected(backoffMillis);
    }

    /** Ends this run because the router has closed the connection. The listener is not told. */
    void cancel() {
        ended = true;
    }

    boolean ended() {
        return ended;
    }

    /**
     * A cacheable part of a prompt.
     *
     * @param key the hash of this part and all parts before it
     * @param tokens the tokens of this part alone
     * @param shared whether prompts of other requests may contain this part too
     */
    record CachedPart(long key, int tokens, boolean shared) {}

    /** Receives the events of a run. */
    interface Listener {
        /** Handles the beginning of the answer. */
        void answerBegan();

        /** Handles the end of the complete answer. */
        void answerEnded();

        /**
         * Handles a rejection by the endpoint: the request has not run and will not run there.
         *
         * @param backoffMillis the endpoint's Retry-After, in milliseconds; 0 if the endpoint sends none
         */
        void rejected(long backoffMillis);
    }
}
