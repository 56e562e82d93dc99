package org.radishpass.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A model of an inference engine that works in steps. In each step, the engine reads a chunk of the unread prompts, and
 * every running request whose prompt has been read gets one token. Long prompts therefore delay the tokens of all
 * requests. Prompts stay cached until their memory is needed, and the least recently used prompt parts are evicted
 * first.
 *
 * <p>The model omits preemption: running requests count towards the memory, but are never stopped when memory runs out.
 * It also omits the time that it takes to transfer a cached prompt from another engine.
 */
final class SimulatedEngine implements SimulatedEndpoint {
    private final Timeline timeline;
    private final EngineSettings settings;
    private final CacheCounts cacheCounts;
    private final Set<Long> everReadParts;
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<Long, Integer> cache = new LinkedHashMap<>(16, 0.75F, true);
    private long cachedTokens;
    private double slowFactor = 1;
    private boolean silent;
    private int maxAcceptingLoad;
    private long backoffMillis;
    private boolean stepInProgress;
    private int startingRuns;

    /**
     * Creates an idle engine with an empty cache.
     *
     * @param timeline the virtual clock on which steps are scheduled
     * @param settings the capacity and speed of the engine
     * @param cacheCounts counts the prompt tokens that are read again or fetched, over all engines
     * @param everReadParts the keys of the shared prompt parts that any engine has read
     */
    SimulatedEngine(Timeline timeline, EngineSettings settings, CacheCounts cacheCounts, Set<Long> everReadParts) {
        this.timeline = timeline;
        this.settings = settings;
        this.cacheCounts = cacheCounts;
        this.everReadParts = everReadParts;
    }

    @Override
    public void submit(Run run) {
        if (backoffMillis > 0 && load() > maxAcceptingLoad) {
            run.reject(backoffMillis);
            return;
        }
        waiting.add(run);
        startStep();
    }

    @Override
    public void slowBy(double factor) {
        slowFactor = factor;
    }

    @Override
    public void silent(boolean isSilent) {
        silent = isSilent;
        startStep();
    }

    @Override
    public void shed(int maxLoad, long newBackoffMillis) {
        maxAcceptingLoad = maxLoad;
        backoffMillis = newBackoffMillis;
    }

    @Override
    public boolean isSilent() {
        return silent;
    }

    @Override
    public int load() {
        return startingRuns + running.size() + waiting.size();
    }

    private void startStep() {
        if (stepInProgress || silent) {
            return;
        }
        running.removeIf(Run::ended);
        waiting.removeIf(Run::ended);
        while (startingRuns + running.size() < settings.slots() && !waiting.isEmpty()) {
            startRun(waiting.remove());
        }
        if (running.isEmpty()) {
            return;
        }
        int read = readPromptChunk();
        double millis = settings.stepMillis()
                + settings.perRequestMillis() * running.size()
                + read / settings.readTokensPerMilli();
        stepInProgress = true;
        timeline.schedule(millis * slowFactor, this::finishStep);
    }

    private int readPromptChunk() {
        int read = 0;
        for (Run run : running) {
            read += run.readPrompt(settings.chunkTokens() - read);
        }
        return read;
    }

    private void finishStep() {
        stepInProgress = false;
        for (Run run : List.copyOf(running)) {
            if (!run.ended() && run.wholePromptRead()) {
                run.generateToken();
            }
        }
        startStep();
    }

    private void startRun(Run run) {
        startingRuns++;
        timeline.schedule(settings.startMillis() * slowFactor, () -> {
            startingRuns--;
            beginReading(run);
            startStep();
        });
    }

    private void beginReading(Run run) {
        running.add(run);
        int unread = 0;
        for (Run.CachedPart part : run.parts()) {
            unread += unreadTokensOf(part, run, unread > 0);
        }
        run.unreadTokens(unread);
    }

    /**
     * Returns the tokens of a part that must be read. A part can be reused only if all parts before it were reused too.
     */
    private int unreadTokensOf(Run.CachedPart part, Run run, boolean earlierPartMissing) {
        if (!earlierPartMissing && cache.containsKey(part.key())) {
            cache.get(part.key());
            return 0;
        }
        SimulatedEngine holder = run.cacheHolder();
        boolean fetched = !earlierPartMissing && holder != null && holder.hasCached(part);
        if (fetched) {
            cacheCounts.addFetched(part.tokens());
        } else if (part.shared() && !everReadParts.add(part.key())) {
            cacheCounts.addReadAgain(part.tokens());
        }
        addToCache(part);
        return fetched ? 0 : part.tokens();
    }

    private boolean hasCached(Run.CachedPart part) {
        return !silent && cache.containsKey(part.key());
    }

    private void addToCache(Run.CachedPart part) {
        if (cache.put(part.key(), part.tokens()) == null) {
            cachedTokens += part.tokens();
        }
        long runningTokens = running.stream().mapToLong(Run::memoryTokens).sum();
        var leastRecentlyUsed = cache.entrySet().iterator();
        while (cachedTokens + runningTokens > settings.memoryTokens() && leastRecentlyUsed.hasNext()) {
            cachedTokens -= leastRecentlyUsed.next().getValue();
            leastRecentlyUsed.remove();
        }
    }
}
