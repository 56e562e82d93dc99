package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Checks the order in which requests leave the queue, and that no request waits past its latest send time. */
final class BackoffQueueTest {
    private final AtomicLong clock = new AtomicLong();
    private final Deque<Runnable> scheduledChecks = new ArrayDeque<>();
    private final BackoffQueue queue = new BackoffQueue(clock::get, scheduledChecks::add);
    private final List<String> events = new ArrayList<>();
    private int freeSlots;

    @Test
    void sendsByUrgencyAndThenInOrderOfArrival() {
        queue.add(new Request("a", 5, 100));
        queue.add(new Request("b", 2, 100));
        queue.add(new Request("c", 5, 100));
        queue.add(new Request("d", 2, 100));
        freeSlots = 3;
        runCheck();
        assertThat(events).containsExactly("b sent", "d sent", "a sent").inOrder();
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void refusesARequestThatCanNoLongerBeAnsweredInTime() {
        queue.add(new Request("a", 5, 100));
        queue.add(new Request("b", 5, 50));
        clock.set(51);
        runCheck();
        assertThat(events).containsExactly("b refused");
        clock.set(101);
        runCheck();
        assertThat(events).containsExactly("b refused", "a refused");
        assertThat(scheduledChecks).isEmpty();
    }

    @Test
    void aLessUrgentRequestDoesNotOvertake() {
        queue.add(new Request("a", 2, 100));
        assertThat(queue.hasWaitingAtLeastAsUrgent("s", 5)).isTrue();
        assertThat(queue.hasWaitingAtLeastAsUrgent("s", 2)).isTrue();
        assertThat(queue.hasWaitingAtLeastAsUrgent("s", 1)).isFalse();
        assertThat(queue.hasWaitingAtLeastAsUrgent("other", 5)).isFalse();
    }

    @Test
    void rejectsRequestsWhenFull() {
        for (int request = 0; request < BackoffQueue.MAX_WAITING; request++) {
            assertThat(queue.add(new Request("r" + request, 5, 100))).isTrue();
        }
        assertThat(queue.add(new Request("one more", 0, 100))).isFalse();
    }

    private void runCheck() {
        scheduledChecks.remove().run();
    }

    /** A request that is sent while there are free slots. */
    private final class Request implements BackoffQueue.WaitingRequest {
        private final String name;
        private final int urgency;
        private final long latestSendMillis;

        private Request(String name, int urgency, long latestSendMillis) {
            this.name = name;
            this.urgency = urgency;
            this.latestSendMillis = latestSendMillis;
        }

        @Override
        public String service() {
            return "s";
        }

        @Override
        public int urgency() {
            return urgency;
        }

        @Override
        public long latestSendMillis() {
            return latestSendMillis;
        }

        @Override
        public boolean trySend() {
            if (freeSlots == 0) {
                return false;
            }
            freeSlots--;
            events.add(name + " sent");
            return true;
        }

        @Override
        public void expire() {
            events.add(name + " refused");
        }
    }
}
