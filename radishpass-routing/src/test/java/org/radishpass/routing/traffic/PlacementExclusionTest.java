package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;
import org.radishpass.routing.placement.PlacementChoice;

/**
 * Checks that no way of placing a request chooses an endpoint that has stated in a response that it accepts no
 * requests.
 */
final class PlacementExclusionTest {
    private static final int SEEDS = 300;
    private static final int MAX_ENDPOINTS = 8;

    private final PlacementFixture fixture = new PlacementFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    /**
     * Guards against requests that are sent to an endpoint seconds after it stated in a response that it is leaving.
     */
    @Test
    void neverChoosesALeavingEndpoint() {
        ResponseHead leaving = ResponseHead.builder(200).leaving(true).build();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            List<ServiceEndpoint> endpoints = randomEndpoints(seed, random);
            List<ServiceEndpoint> leavingEndpoints = randomSubset(random, endpoints);
            leavingEndpoints.forEach(endpoint -> fixture.receiveHead(endpoint, leaving));
            fixture.advance(random.nextInt(60_000));
            assertNeverChosen(seed, endpoints, leavingEndpoints);
        }
    }

    /** Guards against ignoring backoffs when many endpoints are in backoff, or appear unhealthy, at the same time. */
    @Test
    void neverChoosesAnEndpointInBackoff() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            List<ServiceEndpoint> endpoints = randomEndpoints(seed, random);
            List<ServiceEndpoint> rejecting = randomSubset(random, endpoints);
            for (ServiceEndpoint endpoint : rejecting) {
                fixture.reject(endpoint, 1_000 + random.nextInt(9_000));
                fixture.receiveHead(endpoint, ResponseHead.builder(200).build());
            }
            fixture.advance(random.nextInt(1_000));
            assertNeverChosen(seed, endpoints, rejecting);
        }
    }

    private void assertNeverChosen(long seed, List<ServiceEndpoint> endpoints, List<ServiceEndpoint> excluded) {
        RequestTerms terms = fixture.terms();
        List<PlacementChoice> choices = new ArrayList<>();
        fixture.placer().place(terms, List.of(), false).ifPresent(choices::add);
        fixture.placer().place(terms, List.of(), true).ifPresent(choices::add);
        fixture.placer().place(terms, List.of(endpoints.get(0).id()), true).ifPresent(choices::add);
        fixture.placer().alternative(terms, List.of(), endpoints.get(0)).ifPresent(choices::add);
        for (PlacementChoice choice : choices) {
            assertWithMessage("seed %s", seed).that(excluded).doesNotContain(choice.endpoint());
        }
        for (ServiceEndpoint endpoint : excluded) {
            assertWithMessage("seed %s", seed)
                    .that(fixture.placer().stillEligible(terms, endpoint))
                    .isFalse();
        }
    }

    /** Creates endpoints, some or all of which appear unhealthy for other reasons. */
    private List<ServiceEndpoint> randomEndpoints(long seed, Random random) {
        List<ServiceEndpoint> endpoints = IntStream.range(0, 1 + random.nextInt(MAX_ENDPOINTS))
                .mapToObj(number -> PlacementFixture.endpoint(number + MAX_ENDPOINTS * (int) seed))
                .toList();
        fixture.setEndpoints(endpoints);
        for (ServiceEndpoint endpoint : endpoints) {
            degradeHealth(fixture.health().of(endpoint.id(), fixture.nowMillis()), random.nextInt(6));
        }
        return endpoints;
    }

    private void degradeHealth(EndpointHealth health, int fault) {
        switch (fault) {
            case 0 -> health.unreachable(fixture.nowMillis());
            case 1 -> health.markPossiblyUnreachable();
            case 2 -> health.recordReportedFailing(WorkScope.GROUP, fixture.nowMillis() + 100_000);
            default -> health.bytesReceived(fixture.nowMillis());
        }
    }

    private static List<ServiceEndpoint> randomSubset(Random random, List<ServiceEndpoint> endpoints) {
        double share = random.nextDouble();
        return endpoints.stream()
                .filter(endpoint -> random.nextDouble() < share)
                .toList();
    }
}
