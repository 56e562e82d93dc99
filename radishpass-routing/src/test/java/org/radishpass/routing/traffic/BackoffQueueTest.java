package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Checks in which order requests come out of the queue, and that none stays longer than it may. */
final class BackoffQueueTest {
    private final AtomicLong clock = new AtomicLong();
    private final Deque<Runnable> looks = new ArrayDeque<>();
    private final BackoffQueue queue = new BackoffQueue(clock::get, looks::add);
    private final List<String> events = new ArrayList<>();
    private int room;

    @Test
    void theMostUrgentGoesFirstThenTheOneThatCameFirst() {
        queue.add(new Request("a", 5, 100));
        queue.add(new Request("b", 2, 100));
        queue.add(new Request("c", 5, 100));
        queue.add(new Request("d", 2, 100));
        room = 3;
        look();
        assertThat(events).containsExactly("b sent", "d sent", "a sent").inOrder();
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void oneThatCannotBeAnsweredInTimeAnyMoreIsRefused() {
        queue.add(new Request("a", 5, 100));
        queue.add(new Request("b", 5, 50));
        clock.set(51);
        look();
        assertThat(events).containsExactly("b refused");
        clock.set(101);
        look();
        assertThat(events).containsExactly("b refused", "a refused");
        assertThat(looks).isEmpty();
    }

    @Test
    void oneThatIsLessUrgentDoesNotOvertake() {
        queue.add(new Request("a", 2, 100));
        assertThat(queue.holdsBefore("s", 5)).isTrue();
        assertThat(queue.holdsBefore("s", 2)).isTrue();
        assertThat(queue.holdsBefore("s", 1)).isFalse();
        assertThat(queue.holdsBefore("other", 5)).isFalse();
    }

    @Test
    void beyondItsBoundNothingWaits() {
        for (int request = 0; request < BackoffQueue.MOST_WAITING; request++) {
            assertThat(queue.add(new Request("r" + request, 5, 100))).isTrue();
        }
        assertThat(queue.add(new Request("one more", 0, 100))).isFalse();
    }

    private void look() {
        looks.remove().run();
    }

    /** A request that is sent while there is room. */
    private final class Request implements BackoffQueue.Waiting {
        private final String name;
        private final int urgency;
        private final long startByMillis;

        private Request(String name, int urgency, long startByMillis) {
            this.name = name;
            this.urgency = urgency;
            this.startByMillis = startByMillis;
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
        public long startByMillis() {
            return startByMillis;
        }

        @Override
        public boolean start() {
            if (room == 0) {
                return false;
            }
            room--;
            events.add(name + " sent");
            return true;
        }

        @Override
        public void giveUp() {
            events.add(name + " refused");
        }
    }
}
