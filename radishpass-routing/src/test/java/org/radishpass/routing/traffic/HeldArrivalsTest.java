package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks how requests are handled that arrive before the configuration is known.
 *
 * <p>Guards against refusing them: after a power failure of all routers, which read their configuration on an eighth of
 * a core, 1,120 requests were refused within 4 s with "no configuration or endpoint list is known yet". Their callers
 * retried every 0.3 s and then gave up.
 */
final class HeldArrivalsTest {
    private long nowMillis = 1_000;
    private boolean receiving = true;
    private final Deque<Runnable> scheduledChecks = new ArrayDeque<>();
    private final List<Integer> started = new ArrayList<>();
    private final HeldArrivals held = new HeldArrivals(
            () -> nowMillis,
            () -> receiving,
            arrivals -> arrivals.forEach(ArrivalQueue.Arrival::start),
            scheduledChecks::add);

    @Test
    void holdsRequestsWhileTheConfigurationIsBeingReceived() {
        arrive(1, Long.MAX_VALUE);
        advance(500);
        assertThat(started).isEmpty();

        receiving = false;
        advance(20);
        assertThat(started).containsExactly(1);
    }

    @Test
    void holdsNoRequestLongerThanHalfOfTheCallerTimeout() {
        arrive(1, 1_000);
        arrive(2, 4_000);
        advance(500);
        assertThat(started).containsExactly(1);
        advance(1_500);
        assertThat(started).containsExactly(1, 2).inOrder();
    }

    @Test
    void holdsNoRequestLongerThanTheMaximum() {
        arrive(1, Long.MAX_VALUE);
        advance(HeldArrivals.MAX_HOLD_MILLIS - 1);
        assertThat(started).isEmpty();
        advance(1);
        assertThat(started).containsExactly(1);
    }

    @Test
    void releasesTheOldestFirst() {
        arrive(1, Long.MAX_VALUE);
        arrive(2, Long.MAX_VALUE);
        held.releaseAll();
        assertThat(started).containsExactly(1, 2).inOrder();
    }

    @Test
    void schedulesNoCheckWhileNothingIsHeld() {
        arrive(1, 1_000);
        assertThat(scheduledChecks).hasSize(1);
        advance(500);
        assertThat(scheduledChecks).isEmpty();
    }

    private void arrive(int request, long callerTimeoutMillis) {
        ArrivalQueue.Arrival arrival = () -> started.add(request);
        held.add(arrival, HeldArrivals.deadlineMillis(nowMillis, callerTimeoutMillis));
    }

    private void advance(long millis) {
        nowMillis += millis;
        List<Runnable> due = List.copyOf(scheduledChecks);
        scheduledChecks.clear();
        due.forEach(Runnable::run);
    }
}
