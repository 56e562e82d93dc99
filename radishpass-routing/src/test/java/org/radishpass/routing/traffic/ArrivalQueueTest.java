package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the order in which requests start that arrived while the event loop was busy. */
final class ArrivalQueueTest {
    private long nowMillis;
    private final Deque<Runnable> iterations = new ArrayDeque<>();
    private final ArrivalQueue queue = new ArrivalQueue(iterations::add, () -> nowMillis);
    private final List<Integer> started = new ArrayList<>();

    @Test
    void startsARequestImmediatelyWhileTheEventLoopKeepsUp() {
        for (int request = 0; request < 100; request++) {
            arrive(request);
            assertThat(started).hasSize(request + 1);
            runIterations();
        }
    }

    @Test
    void startsTheNewestRequestsOfABacklogFirst() {
        arriveAll(0, 50);
        assertThat(started).hasSize(ArrivalQueue.MAX_STARTS_PER_ITERATION);
        started.clear();
        iterations.remove().run();
        assertThat(started).containsExactly(49, 48, 47, 46, 45, 44, 43, 42).inOrder();
    }

    @Test
    void startsANewRequestBeforeTheBacklog() {
        arriveAll(0, 20);
        arrive(99);
        started.clear();
        iterations.remove().run();
        assertThat(started.get(0)).isEqualTo(99);
    }

    @Test
    void startsEveryRequestExactlyOnce() {
        arriveAll(0, 50);
        runIterations();
        assertThat(started).hasSize(50);
        assertThat(started).containsNoDuplicates();
    }

    @Test
    void requestsOfDisconnectedCallersDoNotCountAgainstTheBound() {
        arriveAll(0, ArrivalQueue.MAX_STARTS_PER_ITERATION);
        arrive(100);
        for (int disconnected = 0; disconnected < 30; disconnected++) {
            queue.add(() -> false);
        }
        iterations.remove().run();
        assertThat(started).contains(100);
    }

    /**
     * Guards against a slow loading of the configuration after a start on an eighth of a core, when waiting callers and
     * the configuration share one event loop.
     */
    @Test
    void startsFewerRequestsPerIterationWhenEachTakesLong() {
        for (int request = 0; request < 10; request++) {
            int number = request;
            queue.add(() -> {
                started.add(number);
                nowMillis += 60;
                return true;
            });
        }
        assertThat(started).hasSize(1);
        for (int iteration = 2; iteration <= 10; iteration++) {
            iterations.remove().run();
            assertThat(started).hasSize(iteration);
        }
    }

    private void arriveAll(int from, int to) {
        for (int request = from; request < to; request++) {
            arrive(request);
        }
    }

    private void arrive(int request) {
        queue.add(() -> {
            started.add(request);
            return true;
        });
    }

    private void runIterations() {
        while (!iterations.isEmpty()) {
            iterations.remove().run();
        }
    }
}
