package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.dialect.AnswerHead;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;
import org.radishpass.routing.placement.PlacementChoice;

/** Checks that no way of placing a request leads to an endpoint that has stated in an answer that it wants none. */
final class PlacementAfterAnswersTest {
    private static final int SEEDS = 300;
    private static final int MOST_ENDPOINTS = 8;

    private final PlacementBed bed = new PlacementBed();

    @AfterEach
    void close() {
        bed.close();
    }

    /** Guards against requests that reach an endpoint seconds after its answers stated that it is leaving. */
    @Test
    void anEndpointThatStatedThatItIsLeavingIsNeverChosen() {
        AnswerHead leaving = AnswerHead.builder(200).leaving(true).build();
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            List<ServiceEndpoint> endpoints = someEndpoints(seed, random);
            List<ServiceEndpoint> stated = some(random, endpoints);
            stated.forEach(endpoint -> bed.answers(endpoint, leaving));
            bed.pass(random.nextInt(60_000));
            assertNeverChosen(seed, endpoints, stated);
        }
    }

    /** Guards against a backoff that is given up because many endpoints are in backoff, or look bad, at the same time. */
    @Test
    void anEndpointInBackoffIsNeverChosen() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            List<ServiceEndpoint> endpoints = someEndpoints(seed, random);
            List<ServiceEndpoint> rejecting = some(random, endpoints);
            for (ServiceEndpoint endpoint : rejecting) {
                bed.rejects(endpoint, 1_000 + random.nextInt(9_000));
                bed.answers(endpoint, AnswerHead.builder(200).build());
            }
            bed.pass(random.nextInt(1_000));
            assertNeverChosen(seed, endpoints, rejecting);
        }
    }

    private void assertNeverChosen(long seed, List<ServiceEndpoint> endpoints, List<ServiceEndpoint> unwanted) {
        Terms terms = bed.terms();
        List<PlacementChoice> choices = new ArrayList<>();
        bed.placer().place(terms, List.of(), false).ifPresent(choices::add);
        bed.placer().place(terms, List.of(), true).ifPresent(choices::add);
        bed.placer().place(terms, List.of(endpoints.get(0).id()), true).ifPresent(choices::add);
        bed.placer().another(terms, List.of(), endpoints.get(0)).ifPresent(choices::add);
        for (PlacementChoice choice : choices) {
            assertWithMessage("seed %s", seed).that(unwanted).doesNotContain(choice.endpoint());
        }
        for (ServiceEndpoint endpoint : unwanted) {
            assertWithMessage("seed %s", seed)
                    .that(bed.placer().stillOpen(terms, endpoint))
                    .isFalse();
        }
    }

    /** Endpoints of which some look bad for other reasons, up to all of them. */
    private List<ServiceEndpoint> someEndpoints(long seed, Random random) {
        List<ServiceEndpoint> endpoints = IntStream.range(0, 1 + random.nextInt(MOST_ENDPOINTS))
                .mapToObj(number -> PlacementBed.endpoint(number + MOST_ENDPOINTS * (int) seed))
                .toList();
        bed.knows(endpoints);
        for (ServiceEndpoint endpoint : endpoints) {
            spoil(bed.health().of(endpoint.id(), bed.nowMillis()), random.nextInt(6));
        }
        return endpoints;
    }

    private void spoil(EndpointHealth health, int how) {
        switch (how) {
            case 0 -> health.unreachable(bed.nowMillis());
            case 1 -> health.doubt();
            case 2 -> health.saidToFail(WorkScope.GROUP, bed.nowMillis() + 100_000);
            default -> health.heard(bed.nowMillis());
        }
    }

    private static List<ServiceEndpoint> some(Random random, List<ServiceEndpoint> endpoints) {
        double share = random.nextDouble();
        return endpoints.stream()
                .filter(endpoint -> random.nextDouble() < share)
                .toList();
    }
}
