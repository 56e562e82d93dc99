package org.radishpass.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the requests and tokens that an engine processed, independently of what routers and callers report.
 *
 * @since 0.1.0
 */
public final class EngineAudit {
    private final LongAdder promptTokens = new LongAdder();
    private final LongAdder cachedTokens = new LongAdder();
    private final LongAdder started = new LongAdder();
    private final LongAdder finished = new LongAdder();
    private final LongAdder cancelled = new LongAdder();

    void started(long requestPromptTokens, long requestCachedTokens) {
        started.increment();
        promptTokens.add(requestPromptTokens);
        cachedTokens.add(requestCachedTokens);
    }

    void finished() {
        finished.increment();
    }

    void cancelled() {
        cancelled.increment();
    }

    /** Returns all counts by name. */
    public Map<String, Long> counts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("started", started.sum());
        counts.put("finished", finished.sum());
        counts.put("cancelled", cancelled.sum());
        counts.put("promptTokens", promptTokens.sum());
        counts.put("cachedTokens", cachedTokens.sum());
        return counts;
    }
}
