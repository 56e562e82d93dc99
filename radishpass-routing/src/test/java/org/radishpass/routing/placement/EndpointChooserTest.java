package org.radishpass.routing.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.InFlightTracker;
import org.radishpass.routing.load.LoadLimit;

/** Tests the choice of endpoints by prompt affinity, load limit and data centre. */
final class EndpointChooserTest {
    private final InFlightTracker inFlight = new InFlightTracker();
    private final EndpointChooser chooser = new EndpointChooser(inFlight, new DataCentre("dc-0"));
    private final List<ServiceEndpoint> endpoints = endpoints(8);

    @Test
    void promptsWithEqualSharedPartsGoToTheSameEndpoint() {
        Set<String> chosen = new HashSet<>();
        for (int request = 0; request < 20; request++) {
            chosen.add(choose(endpoints, prompt("subject", request)).endpoint().id());
        }
        assertThat(chosen).hasSize(1);
    }

    @Test
    void promptsWithDifferentSharedPartsSpreadOverAllEndpoints() {
        Set<String> chosen = new HashSet<>();
        for (int subject = 0; subject < 100; subject++) {
            chosen.add(choose(endpoints, prompt("subject-" + subject, 0))
                    .endpoint()
                    .id());
        }
        assertThat(chosen).hasSize(8);
    }

    @Test
    void onlyPromptsOfARemovedEndpointMoveToOtherEndpoints() {
        for (int subject = 0; subject < 200; subject++) {
            String before = choose(endpoints, prompt("subject-" + subject, 0))
                    .endpoint()
                    .id();
            String after = choose(endpoints.subList(1, 8), prompt("subject-" + subject, 0))
                    .endpoint()
                    .id();
            if (!before.equals("e0")) {
                assertThat(after).isEqualTo(before);
            }
        }
    }

    /**
     * Guards against overload of the remaining endpoints when data centres are drained and one prompt is frequent. The
     * load limit counts the drained endpoints too.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 6, 7})
    void candidatesStayWithinTheLimitOfTheWholeServiceWhileOtherEndpointsAreDrained(int open) {
        List<ServiceEndpoint> candidates = endpoints.subList(0, open);
        for (int request = 1; request <= 400; request++) {
            PromptDescription prompt = prompt(request % 3 == 0 ? "hot" : "subject-" + request % 20, request);
            PlacementChoice choice = choose(candidates, prompt);
            double mean = (double) request / endpoints.size();
            assertThat((double) choice.load()).isAtMost(2 * mean + 3);
            inFlight.started(choice.endpoint().id(), 10);
        }
    }

    @Test
    void aFrequentPromptNeverLoadsAnEndpointAboveTheLimit() {
        for (int request = 0; request < 400; request++) {
            PlacementChoice choice = choose(endpoints, prompt("hot", request));
            assertThat((double) choice.load()).isAtMost(LoadLimit.PROMPT_AFFINITY.requests(endpoints, inFlight));
            inFlight.started(choice.endpoint().id(), 10);
        }
        for (ServiceEndpoint endpoint : endpoints) {
            assertThat((double) inFlight.at(endpoint.id()).requests()).isAtMost(2 * 50.0 + 3);
        }
    }

    @Test
    void anEndpointThatTakesOverAPromptIsToldWhichEndpointCachesIt() {
        PlacementChoice first = choose(endpoints, prompt("subject", 0));
        for (int request = 0; request < 10; request++) {
            inFlight.started(first.endpoint().id(), 1);
        }
        PlacementChoice second = choose(endpoints, prompt("subject", 1));
        PlacementChoice third = choose(endpoints, prompt("subject", 2));

        assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
        assertThat(second.rank()).isEqualTo(1);
        assertThat(second.holder()).isEqualTo(Optional.of(first.endpoint()));
        assertThat(third.endpoint()).isEqualTo(second.endpoint());
        assertThat(third.holder()).isEqualTo(Optional.empty());
    }

    @Test
    void requestsWithoutAPromptGoToTheLeastLoadedEndpoint() {
        endpoints.subList(0, 7).forEach(endpoint -> inFlight.started(endpoint.id(), 0));
        PlacementChoice choice = chooser.choose(queryWithoutPrompt(42)).orElseThrow();
        assertThat(choice.endpoint().id()).isEqualTo("e7");
    }

    @Test
    void theLocalDataCentreIsPreferredAmongEquallyLoadedEndpoints() {
        for (long hash = 0; hash < 50; hash++) {
            PlacementChoice choice = chooser.choose(queryWithoutPrompt(hash)).orElseThrow();
            assertThat(choice.endpoint().dataCentre().name()).isEqualTo("dc-0");
        }
    }

    @Test
    void withoutCandidatesThereIsNoChoice() {
        assertThat(chooser.choose(new PlacementQuery(List.of(), List.of(), List.of(), Optional.empty(), 1, 1, 0)))
                .isEqualTo(Optional.empty());
    }

    @Test
    void routersOfALargeFleetDoNotAllChooseTheLeastLoadedEndpoint() {
        for (int number = 1; number < endpoints.size(); number++) {
            inFlight.started(endpoints.get(number).id(), 0);
        }
        Map<String, Integer> sent = new HashMap<>();
        for (int request = 0; request < 800; request++) {
            String id = chooser.choose(queryWithoutPromptInLargeFleet(Rendezvous.hash("request-" + request)))
                    .orElseThrow()
                    .endpoint()
                    .id();
            sent.merge(id, 1, Integer::sum);
        }
        assertThat(sent).hasSize(8);
        assertThat(sent.get(endpoints.get(0).id())).isLessThan(300);
        assertThat(sent.get(endpoints.get(0).id())).isGreaterThan(100);
    }

    private PlacementChoice choose(List<ServiceEndpoint> candidates, PromptDescription prompt) {
        PlacementChoice choice = chooser.choose(
                        new PlacementQuery(candidates, endpoints, endpoints, Optional.of(prompt), 1, 1, 0))
                .orElseThrow();
        chooser.sent(prompt, choice.endpoint(), 0);
        return choice;
    }

    private PlacementQuery queryWithoutPrompt(long hash) {
        return new PlacementQuery(endpoints, endpoints, endpoints, Optional.empty(), hash, 1, 0);
    }

    private PlacementQuery queryWithoutPromptInLargeFleet(long hash) {
        return new PlacementQuery(endpoints, endpoints, endpoints, Optional.empty(), hash, 60, 0);
    }

    private static PromptDescription prompt(String subject, int request) {
        return new PromptDescription(
                "m",
                1_000,
                100,
                List.of(
                        new PromptPart("workspace", 500),
                        new PromptPart(subject, 400),
                        new PromptPart("own-" + request, 100)));
    }

    private static List<ServiceEndpoint> endpoints(int count) {
        List<ServiceEndpoint> endpoints = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            endpoints.add(new ServiceEndpoint(
                    "e" + number,
                    "llm",
                    new Address("10.0.0." + (number + 1), 80),
                    new DataCentre("dc-" + number % 4),
                    64,
                    false));
        }
        return endpoints;
    }
}
