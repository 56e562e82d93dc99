package org.radishpass.routing.health;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.ServiceEndpoint;

/** Tests that unhealthy endpoints are excluded from the usable endpoints, and that some endpoints always remain. */
final class EndpointHealthTrackerTest {
    private final EndpointHealthTracker tracker = new EndpointHealthTracker();
    private final List<ServiceEndpoint> open =
            IntStream.range(0, 5).mapToObj(EndpointHealthTrackerTest::endpoint).toList();

    @Test
    void anUnreachableEndpointIsExcludedUntilAConnectionSucceeds() {
        EndpointHealth health = tracker.of("e0", 0);
        assertThat(health.unreachable(0)).isTrue();
        assertThat(health.unreachable(1)).isFalse();
        assertThat(tracker.usable(open, 1)).hasSize(4);

        health.connected(2);
        assertThat(tracker.usable(open, 2)).hasSize(5);
    }

    @Test
    void theDelayBetweenBackgroundRetriesGrows() {
        EndpointHealth health = tracker.of("e0", 0);
        health.unreachable(0);
        assertThat(health.tryBeginProbe(249)).isFalse();
        assertThat(health.tryBeginProbe(250)).isTrue();
        assertThat(health.tryBeginProbe(251)).isFalse();
        health.unreachable(300);
        assertThat(health.tryBeginProbe(700)).isFalse();
        assertThat(health.tryBeginProbe(800)).isTrue();
    }

    @Test
    void allEndpointsAreUsableIfAllAreUnreachable() {
        open.forEach(endpoint -> tracker.of(endpoint.id(), 0).unreachable(0));
        assertThat(tracker.usable(open, 1)).hasSize(5);
    }

    @Test
    void anEndpointWithTooManyErrorsIsEjectedForAWhile() {
        fail("e0", 4);
        assertThat(tracker.usable(open, 100)).hasSize(4);
        assertThat(tracker.usable(open, 2_600)).hasSize(5);
    }

    @Test
    void anEndpointIsEjectedAfterThreeConsecutiveSlowResponses() {
        EndpointHealth health = tracker.of("e0", 0);
        assertThat(health.respondedSlowly(0)).isFalse();
        assertThat(health.respondedSlowly(0)).isFalse();
        health.respondedInTime();
        assertThat(health.respondedSlowly(0)).isFalse();
        assertThat(health.respondedSlowly(0)).isFalse();
        assertThat(health.respondedSlowly(0)).isTrue();
        assertThat(tracker.usable(open, 100)).hasSize(4);
        assertThat(tracker.failingInGroup(100)).containsExactly("e0");
    }

    /** Guards against healthy endpoints that all routers leave out because one router has lost its links to them. */
    @Test
    void anEndpointThatThisRouterDoesNotReachIsNotReportedAsFailing() {
        for (ServiceEndpoint endpoint : open) {
            fail(endpoint.id(), 4);
            tracker.of(endpoint.id(), 0).unreachable(0);
        }
        assertThat(tracker.failingInGroup(100)).isEmpty();
        assertThat(tracker.failing(100)).isEmpty();
    }

    @Test
    void anEndpointEjectedForSlownessIsEjectedAgainAfterOneSlowResponse() {
        EndpointHealth health = tracker.of("e0", 0);
        for (int response = 0; response < 3; response++) {
            health.respondedSlowly(0);
        }
        assertThat(tracker.usable(open, 2_500)).hasSize(5);
        assertThat(health.respondedSlowly(2_500)).isTrue();
        assertThat(tracker.usable(open, 2_600)).hasSize(4);
    }

    @Test
    void aServiceIsMostlyUnhealthyIfMostEndpointsFail() {
        assertThat(tracker.mostlyUnhealthy(open, 0)).isFalse();
        for (String id : List.of("e0", "e1")) {
            fail(id, 4);
        }
        assertThat(tracker.mostlyUnhealthy(open, 100)).isFalse();
        fail("e2", 4);
        assertThat(tracker.mostlyUnhealthy(open, 100)).isTrue();
    }

    @Test
    void theReportOfAnotherGroupEjectsAnEndpointAndIsNotForwarded() {
        tracker.recordReportedFailing(List.of("e0"), WorkScope.GROUP, 0);
        assertThat(tracker.usable(open, 999)).hasSize(4);
        assertThat(tracker.usable(open, 1_000)).hasSize(5);
        assertThat(tracker.failingInGroup(0)).isEmpty();
        fail("e1", 4);
        assertThat(tracker.failingInGroup(100)).containsExactly("e1");
    }

    @Test
    void anEndpointThatFailsOneRequestInSevenIsNotEjected() {
        EndpointHealth health = tracker.of("e0", 0);
        for (int request = 0; request < 1_000; request++) {
            if (request % 7 == 0) {
                health.failed(request);
            } else {
                health.succeeded();
            }
            assertThat(health.failing(request)).isFalse();
        }
    }

    @Test
    void noEndpointIsEjectedIfMostAreFailing() {
        fail("e0", 4);
        fail("e1", 4);
        assertThat(tracker.usable(open, 100)).hasSize(3);
        fail("e2", 4);
        assertThat(tracker.usable(open, 100)).hasSize(5);
    }

    private void fail(String id, int times) {
        for (int time = 0; time < times; time++) {
            tracker.of(id, 0).failed(time);
        }
    }

    private static ServiceEndpoint endpoint(int number) {
        return new ServiceEndpoint(
                "e" + number, "orders", new Address("10.0.0.1", 80 + number), new DataCentre("here"), 6, false);
    }
}
