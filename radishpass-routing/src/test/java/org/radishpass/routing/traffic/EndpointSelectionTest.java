package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;
import org.radishpass.routing.health.EndpointHealthTracker;

/**
 * Checks that the endpoints selected by their health are the same, in the same order, as with a plain evaluation of
 * every endpoint. Guards against short cuts that overlook an impaired endpoint.
 */
final class EndpointSelectionTest {
    private static final int SEEDS = 400;
    private static final int STEPS = 60;
    private static final int ENDPOINTS = 12;
    private static final double MIN_HEALTHY_FRACTION = 0.6;

    @Test
    void selectsTheSameEndpointsAsAnEvaluationOfEachEndpoint() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            EndpointHealthTracker tracker = new EndpointHealthTracker();
            List<ServiceEndpoint> all = new ArrayList<>();
            for (int number = 0; number < 1 + random.nextInt(ENDPOINTS); number++) {
                all.add(PlacementFixture.endpoint(number));
                tracker.of(all.get(number).id(), 0);
            }
            long nowMillis = 0;
            for (int step = 0; step < STEPS; step++) {
                nowMillis += random.nextInt(1_500);
                change(tracker.of(all.get(random.nextInt(all.size())).id(), nowMillis), random.nextInt(12), nowMillis);
                assertSame(seed, tracker, select(all, endpoint -> random.nextInt(4) > 0), nowMillis);
            }
        }
    }

    private static void change(EndpointHealth health, int event, long nowMillis) {
        switch (event) {
            case 0 -> health.unreachable(nowMillis);
            case 1 -> health.markPossiblyUnreachable();
            case 2 -> health.recordReportedFailing(WorkScope.GROUP, nowMillis + 1_000);
            case 3 -> health.recordReportedFailing(WorkScope.MEMBER, nowMillis + 1_000);
            case 4, 5 -> health.failed(nowMillis);
            case 6 -> health.respondedSlowly(nowMillis);
            case 7 -> health.bytesReceived(nowMillis);
            default -> health.connected(nowMillis);
        }
    }

    private static void assertSame(long seed, EndpointHealthTracker tracker, List<ServiceEndpoint> some, long now) {
        List<ServiceEndpoint> reachable =
                select(some, endpoint -> !tracker.of(endpoint.id(), now).down());
        List<ServiceEndpoint> certain =
                select(reachable, endpoint -> !tracker.of(endpoint.id(), now).possiblyUnreachable());
        List<ServiceEndpoint> likely = certain.isEmpty() ? reachable : certain;
        List<ServiceEndpoint> healthy =
                select(likely, endpoint -> !tracker.of(endpoint.id(), now).failing(now));
        List<ServiceEndpoint> sufficient = healthy.size() < likely.size() * MIN_HEALTHY_FRACTION ? likely : healthy;
        int healthyOfAll = select(
                        reachable, endpoint -> !tracker.of(endpoint.id(), now).failing(now))
                .size();

        assertWithMessage("seed %s", seed).that(tracker.reachable(some, now)).isEqualTo(reachable);
        assertWithMessage("seed %s", seed)
                .that(tracker.usable(some, now))
                .isEqualTo(likely.isEmpty() ? some : sufficient);
        assertWithMessage("seed %s", seed)
                .that(tracker.mostlyUnhealthy(some, now))
                .isEqualTo(healthyOfAll < some.size() * MIN_HEALTHY_FRACTION);
        Set<String> failing = Set.copyOf(tracker.failing(now));
        Set<String> failingInGroup = Set.copyOf(tracker.failingInGroup(now));
        for (ServiceEndpoint endpoint : some) {
            EndpointHealth health = tracker.of(endpoint.id(), now);
            assertWithMessage("seed %s", seed)
                    .that(failing.contains(endpoint.id()))
                    .isEqualTo(health.failing(now));
            assertWithMessage("seed %s", seed)
                    .that(failingInGroup.contains(endpoint.id()))
                    .isEqualTo(health.failingInGroup(now));
        }
    }

    private static List<ServiceEndpoint> select(List<ServiceEndpoint> all, Predicate<ServiceEndpoint> condition) {
        return all.stream().filter(condition).toList();
    }
}
