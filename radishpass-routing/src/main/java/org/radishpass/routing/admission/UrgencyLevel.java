package org.radishpass.routing.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of one urgency. Those that can start within their latency target start before the others.
 * Within each of these two groups the workspaces take turns, and the newest request of a workspace starts first: it has
 * the most time left. In a lasting overload, the oldest would be reached when their latency targets are nearly missed,
 * and almost all responses would be late.
 *
 * @param <T> the type of the requests
 */
final class UrgencyLevel<T> {
    /** A workspace without waiting requests is forgotten below this rate of arrivals per second. */
    private static final double MIN_KNOWN_RATE = 0.1;

    private final Map<String, WorkspaceQueue<T>> workspaces = new HashMap<>();
    private final Deque<WorkspaceQueue<T>> punctualTurns = new ArrayDeque<>();
    private final Deque<WorkspaceQueue<T>> lateTurns = new ArrayDeque<>();
    private int punctualCount;
    private int lateCount;
    private int activeWorkspaces;

    int size() {
        return punctualCount + lateCount;
    }

    /** Returns the number of workspaces that share the starts, if the given one has a waiting request. */
    int competingWorkspaces(String workspace) {
        WorkspaceQueue<T> queue = workspaces.get(workspace);
        return queue != null && queue.size() > 0 ? activeWorkspaces : activeWorkspaces + 1;
    }

    void add(Waiting<T> waiting, long nowMillis) {
        WorkspaceQueue<T> queue =
                workspaces.computeIfAbsent(waiting.request().workspace(), name -> new WorkspaceQueue<>());
        queue.arrivals.record(nowMillis);
        if (queue.size() == 0) {
            activeWorkspaces++;
        }
        if (queue.punctual.isEmpty()) {
            punctualTurns.addLast(queue);
        }
        queue.punctual.addFirst(waiting);
        punctualCount++;
    }

    /** Removes the request that starts next, or returns null if none waits. */
    @Nullable
    Waiting<T> poll(long nowMillis) {
        while (!punctualTurns.isEmpty()) {
            WorkspaceQueue<T> queue = punctualTurns.getFirst();
            Waiting<T> next = queue.punctual.removeFirst();
            punctualCount--;
            boolean punctual = nowMillis <= next.request().latestPunctualStartMillis();
            if (punctual || queue.punctual.isEmpty()) {
                punctualTurns.removeFirst();
                if (!queue.punctual.isEmpty()) {
                    punctualTurns.addLast(queue);
                }
            }
            if (punctual) {
                return removed(queue, next);
            }
            addLate(queue, next);
        }
        return pollLate();
    }

    /** Tells whether the request that starts next can still meet its latency target. */
    boolean nextPunctual(long nowMillis) {
        return punctualTurns.stream()
                .anyMatch(queue ->
                        nowMillis <= queue.punctual.getFirst().request().latestPunctualStartMillis());
    }

    private void addLate(WorkspaceQueue<T> queue, Waiting<T> waiting) {
        if (queue.late.isEmpty()) {
            lateTurns.addLast(queue);
        }
        queue.late.add(waiting);
        lateCount++;
    }

    private @Nullable Waiting<T> pollLate() {
        WorkspaceQueue<T> queue = lateTurns.pollFirst();
        Waiting<T> next = queue == null ? null : queue.late.pollFirst();
        if (queue == null || next == null) {
            return null;
        }
        lateCount--;
        if (!queue.late.isEmpty()) {
            lateTurns.addLast(queue);
        }
        return removed(queue, next);
    }

    private Waiting<T> removed(WorkspaceQueue<T> queue, Waiting<T> waiting) {
        if (queue.size() == 0) {
            activeWorkspaces--;
        }
        return waiting;
    }

    /**
     * Removes requests. Each request is tested once, in the order in which they start; those removed do not count for
     * the positions of later ones.
     *
     * @param test tells whether a request is removed
     * @param levelArrivals the arrivals per second of this urgency
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    void removeIf(RemovalTest<T> test, double levelArrivals, long nowMillis) {
        int competing = activeWorkspaces;
        List<Turn<T>> punctual = new ArrayList<>();
        for (WorkspaceQueue<T> queue : punctualTurns) {
            double inflow = Math.min(levelArrivals, queue.arrivals.perSecond(nowMillis) * competing);
            punctual.add(new Turn<>(queue.punctual.iterator(), inflow));
        }
        int remaining = removeInTurns(punctual, 0, test);
        List<Turn<T>> late = new ArrayList<>();
        lateTurns.forEach(queue -> late.add(new Turn<>(queue.late.iterator(), levelArrivals)));
        removeInTurns(late, remaining, test);
        punctualTurns.removeIf(queue -> queue.punctual.isEmpty());
        lateTurns.removeIf(queue -> queue.late.isEmpty());
        workspaces
                .values()
                .removeIf(queue -> queue.size() == 0 && queue.arrivals.perSecond(nowMillis) < MIN_KNOWN_RATE);
        punctualCount = workspaces.values().stream()
                .mapToInt(queue -> queue.punctual.size())
                .sum();
        lateCount = workspaces.values().stream()
                .mapToInt(queue -> queue.late.size())
                .sum();
        activeWorkspaces = (int)
                workspaces.values().stream().filter(queue -> queue.size() > 0).count();
    }

    /**
     * Tests the requests in the order in which they start.
     *
     * @param turns the workspaces, which take turns
     * @param ahead the number of requests that start before
     * @param test tells whether a request is removed
     * @return the number of requests that start before, and of those that have not been removed
     */
    private static <T> int removeInTurns(List<Turn<T>> turns, int ahead, RemovalTest<T> test) {
        int remaining = ahead;
        while (!turns.isEmpty()) {
            for (Turn<T> turn : turns) {
                remaining += turn.keepsNext(remaining + 1, test) ? 1 : 0;
            }
            turns.removeIf(turn -> !turn.waiting.hasNext());
        }
        return remaining;
    }

    /**
     * Decides whether a request is removed.
     *
     * @param <T> the type of the requests
     */
    @FunctionalInterface
    interface RemovalTest<T> {
        /**
         * Tells whether the request is removed.
         *
         * @param waiting the request
         * @param position the number of requests of this urgency that start up to and including this one
         * @param inflow the arrivals per second of requests of this urgency that start before this one
         */
        boolean remove(Waiting<T> waiting, int position, double inflow);
    }

    /**
     * The requests of a workspace that have not been tested yet.
     *
     * @param waiting the requests in the order in which they start
     * @param inflow the arrivals per second of requests of this urgency that start before these
     */
    private record Turn<T>(Iterator<Waiting<T>> waiting, double inflow) {
        /** Removes requests up to the first one that is not to be removed. Returns false if there is none. */
        private boolean keepsNext(int position, RemovalTest<T> test) {
            while (waiting.hasNext()) {
                if (!test.remove(waiting.next(), position, inflow)) {
                    return true;
                }
                waiting.remove();
            }
            return false;
        }
    }

    /** The waiting requests of one workspace, the newest first. */
    private static final class WorkspaceQueue<T> {
        private static final double TIME_CONSTANT_MILLIS = 1_000;

        private final Deque<Waiting<T>> punctual = new ArrayDeque<>();
        private final NavigableSet<Waiting<T>> late = new TreeSet<>(
                Comparator.<Waiting<T>>comparingLong(Waiting::sequence).reversed());
        private final DecayedRate arrivals = new DecayedRate(TIME_CONSTANT_MILLIS);

        private int size() {
            return punctual.size() + late.size();
        }
    }
}
