package org.radishpass.simulation;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** One run of a request at one endpoint, as the endpoint sees it. */
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
    private boolean over;

    /**
     * Creates a run.
     *
     * @param requestClass its class
     * @param parts the parts of its prompt, the last its own
     * @param outputTokens the tokens that it generates
     * @param workMillis the work at a plain service, in milliseconds
     * @param cacheHolder an engine that its cache may be fetched from, or null
     * @param listener hears of its begin and end
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

    void unread(int tokens) {
        unreadTokens = tokens;
    }

    /** Reads some of the prompt; returns how many tokens were read. */
    int read(int most) {
        int now = Math.min(most, unreadTokens);
        unreadTokens -= now;
        return now;
    }

    boolean wholePromptRead() {
        return unreadTokens == 0;
    }

    /** Generates a token; the first begins the answer, the last ends it. */
    void generate() {
        generatedTokens++;
        if (generatedTokens == 1) {
            listener.begun();
        }
        if (generatedTokens >= outputTokens) {
            finish();
        }
    }

    void begin() {
        listener.begun();
    }

    void finish() {
        if (!over) {
            over = true;
            listener.ended();
        }
    }

    /**
     * The endpoint has rejected it.
     *
     * @param backoffMillis its Retry-After, in milliseconds; 0 without one
     */
    void refuse(long backoffMillis) {
        over = true;
        listener.notRun(backoffMillis);
    }

    /** The router has closed the connection. */
    void cancel() {
        over = true;
    }

    boolean over() {
        return over;
    }

    /**
     * A part of a prompt together with all before it.
     *
     * @param key names it and what is before it
     * @param tokens its own tokens
     * @param shared whether other requests may have it too
     */
    record CachedPart(long key, int tokens, boolean shared) {}

    /** Hears what becomes of a run. */
    interface Listener {
        /** The answer has begun. */
        void begun();

        /** The answer is whole. */
        void ended();

        /**
         * It has not run and never will.
         *
         * @param backoffMillis the endpoint's Retry-After, in milliseconds; 0 without one
         */
        void notRun(long backoffMillis);
    }
}
