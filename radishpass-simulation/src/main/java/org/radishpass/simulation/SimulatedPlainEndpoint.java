package org.radishpass.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A model of an endpoint of a plain service. The endpoint runs requests in a fixed number of slots, queues a limited
 * number of others, and rejects the rest.
 */
final class SimulatedPlainEndpoint implements SimulatedEndpoint {
    private final Timeline timeline;
    private final int slots;
    private final int queueCapacity;
    private final Deque<Run> waiting = new ArrayDeque<>();
    private final Deque<Run> finishedWhileSilent = new ArrayDeque<>();
    private int running;
    private double slowFactor = 1;
    private boolean silent;
    private int maxAcceptingLoad;
    private long backoffMillis;

    /**
     * Creates an idle endpoint.
     *
     * @param timeline the virtual clock on which ends of runs are scheduled
     * @param slots the runs that this endpoint processes at once
     * @param queueCapacity the maximum number of waiting runs
     */
    SimulatedPlainEndpoint(Timeline timeline, int slots, int queueCapacity) {
        this.timeline = timeline;
        this.slots = slots;
        this.queueCapacity = queueCapacity;
    }

    @Override
    public void submit(Run run) {
        if (backoffMillis > 0 && load() > maxAcceptingLoad) {
            run.reject(backoffMillis);
            return;
        }
        if (waiting.size() >= queueCapacity) {
            run.reject(0);
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
        while (!silent && !finishedWhileSilent.isEmpty()) {
            finishRun(finishedWhileSilent.remove());
        }
        startWaiting();
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
        return running + waiting.size();
    }

    private void startWaiting() {
        while (!silent && running < slots && !waiting.isEmpty()) {
            Run next = waiting.remove();
            if (!next.ended()) {
                running++;
                timeline.schedule(next.workMillis() * slowFactor, () -> finishRun(next));
            }
        }
    }

    private void finishRun(Run run) {
        if (silent) {
            finishedWhileSilent.add(run);
            return;
        }
        running--;
        if (!run.ended()) {
            run.beginAnswer();
            run.endAnswer();
        }
        startWaiting();
    }
}
