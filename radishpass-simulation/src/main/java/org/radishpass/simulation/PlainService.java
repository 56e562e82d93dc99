package org.radishpass.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/** An endpoint of a plain service: it runs some requests at once, keeps some waiting, and turns the rest away. */
final class PlainService implements SimulatedEndpoint {
    private final Timeline timeline;
    private final int slots;
    private final int queue;
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final Deque<Run> stalled = new ArrayDeque<>();
    private int running;
    private double slowFactor = 1;
    private boolean silent;
    private int shedsFrom;
    private long backoffMillis;

    /**
     * Creates an idle endpoint.
     *
     * @param timeline the virtual time
     * @param slots the requests that it runs at once
     * @param queue the requests that it keeps waiting
     */
    PlainService(Timeline timeline, int slots, int queue) {
        this.timeline = timeline;
        this.slots = slots;
        this.queue = queue;
    }

    @Override
    public void submit(Run run) {
        if (backoffMillis > 0 && load() > shedsFrom) {
            run.refuse(backoffMillis);
            return;
        }
        if (waiting.size() >= queue) {
            run.refuse(0);
            return;
        }
        waiting.add(run);
        startWaiting();
    }

    @Override
    public void slowBy(double factor) {
        slowFactor = factor;
    }

    @Override
    public void silent(boolean isSilent) {
        silent = isSilent;
        while (!silent && !stalled.isEmpty()) {
            ended(stalled.remove());
        }
        startWaiting();
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
        return running + waiting.size();
    }

    private void startWaiting() {
        while (!silent && running < slots && !waiting.isEmpty()) {
            Run next = waiting.remove();
            if (!next.over()) {
                running++;
                timeline.after(next.workMillis() * slowFactor, () -> ended(next));
            }
        }
    }

    private void ended(Run run) {
        if (silent) {
            stalled.add(run);
            return;
        }
        running--;
        if (!run.over()) {
            run.begin();
            run.finish();
        }
        startWaiting();
    }
}
