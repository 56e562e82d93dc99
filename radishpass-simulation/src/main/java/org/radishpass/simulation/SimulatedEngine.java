package org.radishpass.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A model engine: it works in steps, in each of which every running request gets a token and a chunk of the unread prompts is
 * read, so that long prompts delay the tokens of all. Prompts stay in its memory until others need the room.
 *
 * <p>Left out: preemption (the sum of memory is counted, not enforced on running requests) and the time that a fetched cache
 * takes on the way.
 */
final class SimulatedEngine implements SimulatedEndpoint {
    private final Timeline timeline;
    private final EngineSettings settings;
    private final CacheCounts counts;
    private final Set<Long> everRead;
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<Long, Integer> cache = new LinkedHashMap<>(16, 0.75F, true);
    private long cachedTokens;
    private double slowFactor = 1;
    private boolean silent;
    private int shedsFrom;
    private long backoffMillis;
    private boolean stepping;
    private int starting;

    /**
     * Creates an idle engine with an empty cache.
     *
     * @param timeline the virtual time
     * @param settings how fast it is
     * @param counts counts what is read again and moved, over all engines
     * @param everRead the shared parts that any engine has read
     */
    SimulatedEngine(Timeline timeline, EngineSettings settings, CacheCounts counts, Set<Long> everRead) {
        this.timeline = timeline;
        this.settings = settings;
        this.counts = counts;
        this.everRead = everRead;
    }

    @Override
    public void submit(Run run) {
        if (backoffMillis > 0 && load() > shedsFrom) {
            run.refuse(backoffMillis);
            return;
        }
        waiting.add(run);
        step();
    }

    @Override
    public void slowBy(double factor) {
        slowFactor = factor;
    }

    @Override
    public void silent(boolean isSilent) {
        silent = isSilent;
        step();
    }

    @Override
    public void shed(int most, long newBackoffMillis) {
        shedsFrom = most;
        backoffMillis = newBackoffMillis;
    }

    @Override
    public boolean isSilent() {
        return silent;
    }

    @Override
    public int load() {
        return starting + running.size() + waiting.size();
    }

    private void step() {
        if (stepping || silent) {
            return;
        }
        running.removeIf(Run::over);
        waiting.removeIf(Run::over);
        while (starting + running.size() < settings.slots() && !waiting.isEmpty()) {
            start(waiting.remove());
        }
        if (running.isEmpty()) {
            return;
        }
        int read = readChunk();
        double millis = settings.stepMillis()
                + settings.perRequestMillis() * running.size()
                + read / settings.readTokensPerMilli();
        stepping = true;
        timeline.after(millis * slowFactor, this::stepped);
    }

    private int readChunk() {
        int read = 0;
        for (Run run : running) {
            read += run.read(settings.chunkTokens() - read);
        }
        return read;
    }

    private void stepped() {
        stepping = false;
        for (Run run : List.copyOf(running)) {
            if (!run.over() && run.wholePromptRead()) {
                run.generate();
            }
        }
        step();
    }

    private void start(Run run) {
        starting++;
        timeline.after(settings.startMillis() * slowFactor, () -> {
            starting--;
            admit(run);
            step();
        });
    }

    private void admit(Run run) {
        running.add(run);
        int unread = 0;
        for (Run.CachedPart part : run.parts()) {
            unread += unreadOf(part, run, unread > 0);
        }
        run.unread(unread);
    }

    /** A part is found only if all before it were. */
    private int unreadOf(Run.CachedPart part, Run run, boolean oneBeforeIsMissing) {
        if (!oneBeforeIsMissing && cache.containsKey(part.key())) {
            cache.get(part.key());
            return 0;
        }
        SimulatedEngine holder = run.cacheHolder();
        boolean fetched = !oneBeforeIsMissing && holder != null && holder.keeps(part);
        if (fetched) {
            counts.moved(part.tokens());
        } else if (part.shared() && !everRead.add(part.key())) {
            counts.readAgain(part.tokens());
        }
        keep(part);
        return fetched ? 0 : part.tokens();
    }

    private boolean keeps(Run.CachedPart part) {
        return !silent && cache.containsKey(part.key());
    }

    private void keep(Run.CachedPart part) {
        if (cache.put(part.key(), part.tokens()) == null) {
            cachedTokens += part.tokens();
        }
        long needed = running.stream().mapToLong(Run::memoryTokens).sum();
        var oldest = cache.entrySet().iterator();
        while (cachedTokens + needed > settings.memoryTokens() && oldest.hasNext()) {
            cachedTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
