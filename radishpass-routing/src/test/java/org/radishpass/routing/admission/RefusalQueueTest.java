package org.radishpass.routing.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks in which order refusals are sent, and how much time they are given. */
final class RefusalQueueTest {
    private static final long NOW = 100_000;
    private static final double COST_MILLIS = 2;

    private final RefusalQueue<String> queue = new RefusalQueue<>();

    @Test
    void sendsTheRefusalThatIsDueFirst() {
        add("later", 9_000, false);
        add("sooner", 900, false);
        assertThat(pollAll(NOW)).containsExactly("sooner", "later").inOrder();
    }

    /** Guards against callers that get no answer because refusals are limited to a fixed fraction of the time. */
    @Test
    void requiresTheTimeInWhichAllCallersAreAnsweredTwice() {
        for (int caller = 0; caller < 100; caller++) {
            add("caller", 1_050, false);
        }
        assertThat(queue.requiredShare(COST_MILLIS, NOW)).isWithin(0.01).of(2 * 100 * COST_MILLIS / 1_000);
    }

    /** Guards against callers that return at once, again and again, and take the time in which others are served. */
    @Test
    void requiresNoTimeForCallersThatReturnEarly() {
        add("first", 3_000, false);
        pollAll(NOW);
        add("early", 2_900, true);
        assertThat(queue.owes(NOW)).isFalse();
        assertThat(queue.requiredShare(COST_MILLIS, NOW)).isEqualTo(0);
        add("other", 5_000, false);
        assertThat(pollAll(NOW)).containsExactly("other", "early").inOrder();
    }

    /** Guards against callers that return when they were told to, and get no answer until their deadline. */
    @Test
    void owesAnAnswerToACallerWhoseReturnIsDue() {
        add("first", 3_000, false);
        pollAll(NOW);
        add("again", 2_900, true);
        long due = NOW + 1_000;
        assertThat(queue.owes(due)).isTrue();
        assertThat(queue.requiredShare(COST_MILLIS, due)).isGreaterThan(0.0);
    }

    /** Guards against callers that lost their connection to another router and get no answer here. */
    @Test
    void owesAnAnswerToACallerThatWasNotRefusedHere() {
        add("elsewhere", 2_900, true);
        assertThat(queue.owes(NOW)).isTrue();
    }

    private void add(String item, long leftMillis, boolean returned) {
        AdmissionRefusal refusal =
                new AdmissionRefusal(RefusalReason.DEADLINE, NOW, 0, 50, 0, 0, leftMillis, leftMillis / 3);
        queue.add(new AdmissionController.Refused<>(item, refusal, returned));
    }

    private List<String> pollAll(long nowMillis) {
        List<String> sent = new ArrayList<>();
        for (var next = queue.poll(nowMillis); next != null; next = queue.poll(nowMillis)) {
            queue.sent(next, nowMillis);
            sent.add(next.item());
        }
        return sent;
    }
}
