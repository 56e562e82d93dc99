package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks what becomes of requests that come before the configuration.
 *
 * <p>Seen: after a loss of power of all routers they refused 1,120 requests within 4 s with "no configuration or endpoint list is known
 * yet" while they read it, on an eighth of a core; callers came back each 0.3 s, and gave up.
 */
final class HeldArrivalsTest {
    private long nowMillis = 1_000;
    private boolean arriving = true;
    private final Deque<Runnable> looks = new ArrayDeque<>();
    private final List<Integer> begun = new ArrayList<>();
    private final HeldArrivals held = new HeldArrivals(
            () -> nowMillis, () -> arriving, all -> all.forEach(ArrivalQueue.Arrival::begin), looks::add);

    @Test
    void theyWaitWhileTheConfigurationIsOnItsWay() {
        arrive(1, Long.MAX_VALUE);
        pass(500);
        assertThat(begun).isEmpty();

        arriving = false;
        pass(20);
        assertThat(begun).containsExactly(1);
    }

    @Test
    void nobodyWaitsBeyondHalfOfItsPatience() {
        arrive(1, 1_000);
        arrive(2, 4_000);
        pass(500);
        assertThat(begun).containsExactly(1);
        pass(1_500);
        assertThat(begun).containsExactly(1, 2).inOrder();
    }

    @Test
    void nobodyWaitsLongerThanTheBound() {
        arrive(1, Long.MAX_VALUE);
        pass(HeldArrivals.MOST_MILLIS - 1);
        assertThat(begun).isEmpty();
        pass(1);
        assertThat(begun).containsExactly(1);
    }

    @Test
    void theOldestAreHandedOnFirst() {
        arrive(1, Long.MAX_VALUE);
        arrive(2, Long.MAX_VALUE);
        held.releaseAll();
        assertThat(begun).containsExactly(1, 2).inOrder();
    }

    @Test
    void nothingIsLookedAtWhileNobodyWaits() {
        arrive(1, 1_000);
        assertThat(looks).hasSize(1);
        pass(500);
        assertThat(looks).isEmpty();
    }

    private void arrive(int request, long patienceMillis) {
        ArrivalQueue.Arrival arrival = () -> begun.add(request);
        held.add(arrival, HeldArrivals.deadlineMillis(nowMillis, patienceMillis));
    }

    private void pass(long millis) {
        nowMillis += millis;
        List<Runnable> due = List.copyOf(looks);
        looks.clear();
        due.forEach(Runnable::run);
    }
}
