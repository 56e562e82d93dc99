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
final class HealthBookTest {
    private final HealthBook book = new HealthBook();
    private final List<ServiceEndpoint> open =
            IntStream.range(0, 5).mapToObj(HealthBookTest::endpoint).toList();

    @Test
    void anUnreachableEndpointIsExcludedUntilAConnectionSucceeds() {
        EndpointHealth health = book.of("e0", 0);
        assertThat(health.unreachable(0)).isTrue();
        assertThat(health.unreachable(1)).isFalse();
        assertThat(book.usable(open, 1)).hasSize(4);

        health.connected(2);
        assertThat(book.usable(open, 2)).hasSize(5);
    }

    @Test
    void theDelayBetweenBackgroundRetriesGrows() {
        EndpointHealth health = book.of("e0", 0);
        health.unreachable(0);
        assertThat(health.takeProbe(249)).isFalse();
        assertThat(health.takeProbe(250)).isTrue();
        assertThat(health.takeProbe(251)).isFalse();
        health.unreachable(300);
        assertThat(health.takeProbe(700)).isFalse();
        assertThat(health.takeProbe(800)).isTrue();
    }

    @Test
    void allEndpointsAreUsableIfAllAreUnreachable() {
        open.forEach(endpoint -> book.of(endpoint.id(), 0).unreachable(0));
        assertThat(book.usable(open, 1)).hasSize(5);
    }

    @Test
    void anEndpointWithTooManyErrorsIsEjectedForAWhile() {
        fail("e0", 4);
        assertThat(book.usable(open, 100)).hasSize(4);
        assertThat(book.usable(open, 2_600)).hasSize(5);
    }

    @Test
    void anEndpointIsEjectedAfterThreeConsecutiveSlowResponses() {
        EndpointHealth health = book.of("e0", 0);
        assertThat(health.answeredSlowly(0)).isFalse();
        assertThat(health.answeredSlowly(0)).isFalse();
        health.answeredInTime();
        assertThat(health.answeredSlowly(0)).isFalse();
        assertThat(health.answeredSlowly(0)).isFalse();
        assertThat(health.answeredSlowly(0)).isTrue();
        assertThat(book.usable(open, 100)).hasSize(4);
        assertThat(book.failingInGroup(100)).containsExactly("e0");
    }

    @Test
    void anEndpointEjectedForSlownessIsEjectedAgainAfterOneSlowResponse() {
        EndpointHealth health = book.of("e0", 0);
        for (int response = 0; response < 3; response++) {
            health.answeredSlowly(0);
        }
        assertThat(book.usable(open, 2_500)).hasSize(5);
        assertThat(health.answeredSlowly(2_500)).isTrue();
        assertThat(book.usable(open, 2_600)).hasSize(4);
    }

    @Test
    void theHealthOfAServiceIsDoubtfulIfMostEndpointsFail() {
        assertThat(book.doubtful(open, 0)).isFalse();
        for (String id : List.of("e0", "e1")) {
            fail(id, 4);
        }
        assertThat(book.doubtful(open, 100)).isFalse();
        fail("e2", 4);
        assertThat(book.doubtful(open, 100)).isTrue();
    }

    @Test
    void theReportOfAnotherGroupEjectsAnEndpointAndIsNotForwarded() {
        book.saidToFail(List.of("e0"), WorkScope.GROUP, 0);
        assertThat(book.usable(open, 999)).hasSize(4);
        assertThat(book.usable(open, 1_000)).hasSize(5);
        assertThat(book.failingInGroup(0)).isEmpty();
        fail("e1", 4);
        assertThat(book.failingInGroup(100)).containsExactly("e1");
    }

    @Test
    void anEndpointThatFailsOneRequestInSevenIsNotEjected() {
        EndpointHealth health = book.of("e0", 0);
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
        assertThat(book.usable(open, 100)).hasSize(3);
        fail("e2", 4);
        assertThat(book.usable(open, 100)).hasSize(5);
    }

    private void fail(String id, int times) {
        for (int time = 0; time < times; time++) {
            book.of(id, 0).failed(time);
        }
    }

    private static ServiceEndpoint endpoint(int number) {
        return new ServiceEndpoint(
                "e" + number, "orders", new Address("10.0.0.1", 80 + number), new DataCentre("here"), 6, false);
    }
}
