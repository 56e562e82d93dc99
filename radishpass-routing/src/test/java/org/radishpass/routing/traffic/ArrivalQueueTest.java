package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks in which order requests begin that have come while nobody served. */
final class ArrivalQueueTest {
    private long nowMillis;
    private final Deque<Runnable> passes = new ArrayDeque<>();
    private final ArrivalQueue queue = new ArrivalQueue(passes::add, () -> nowMillis);
    private final List<Integer> begun = new ArrayList<>();

    @Test
    void aRequestBeginsAtOnceWhileTheThreadKeepsUp() {
        for (int request = 0; request < 100; request++) {
            arrive(request);
            assertThat(begun).hasSize(request + 1);
            runPasses();
        }
    }

    @Test
    void ofABacklogTheNewestBegin() {
        arriveAll(0, 50);
        assertThat(begun).hasSize(ArrivalQueue.MOST_IN_PASS);
        begun.clear();
        passes.remove().run();
        assertThat(begun).containsExactly(49, 48, 47, 46, 45, 44, 43, 42).inOrder();
    }

    @Test
    void whatComesDuringABacklogGoesBeforeIt() {
        arriveAll(0, 20);
        arrive(99);
        begun.clear();
        passes.remove().run();
        assertThat(begun.get(0)).isEqualTo(99);
    }

    @Test
    void allBeginInTheEnd() {
        arriveAll(0, 50);
        runPasses();
        assertThat(begun).hasSize(50);
        assertThat(begun).containsNoDuplicates();
    }

    @Test
    void callersThatLeftTakeNobodysTurn() {
        arriveAll(0, ArrivalQueue.MOST_IN_PASS);
        arrive(100);
        for (int left = 0; left < 30; left++) {
            queue.add(() -> false);
        }
        passes.remove().run();
        assertThat(begun).contains(100);
    }

    /** The pattern: a start on an eighth of a core, with callers that wait and a configuration on its way over the same thread. */
    @Test
    void whereRequestsTakeLongFewerBeginInAPass() {
        for (int request = 0; request < 10; request++) {
            int number = request;
            queue.add(() -> {
                begun.add(number);
                nowMillis += 60;
                return true;
            });
        }
        assertThat(begun).hasSize(1);
        for (int pass = 2; pass <= 10; pass++) {
            passes.remove().run();
            assertThat(begun).hasSize(pass);
        }
    }

    private void arriveAll(int from, int to) {
        for (int request = from; request < to; request++) {
            arrive(request);
        }
    }

    private void arrive(int request) {
        queue.add(() -> {
            begun.add(request);
            return true;
        });
    }

    private void runPasses() {
        while (!passes.isEmpty()) {
            passes.remove().run();
        }
    }
}
