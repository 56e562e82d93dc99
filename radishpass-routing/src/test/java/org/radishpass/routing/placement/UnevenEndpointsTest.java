package org.radishpass.routing.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.dialect.EndpointLoad;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.InFlightTracker;
import org.radishpass.routing.performance.PlacementMethod;

/** Tests the choice of endpoints that differ in speed. */
final class UnevenEndpointsTest {
    private static final int ROUTERS = 134;

    private final InFlightTracker inFlight = new InFlightTracker();
    private final EndpointChooser chooser = chooserBySpeed();
    private final List<ServiceEndpoint> endpoints = endpoints(8);

    /**
     * Guards existing deployments: endpoints that state nothing, or three figures, and do not differ are chosen exactly
     * as in release 0.7, with every method.
     */
    @ParameterizedTest
    @EnumSource
    void endpointsThatDoNotDifferAreChosenAsBefore(PlacementMethod method) {
        chooser.performance().method(method);
        ReferenceChooser reference = new ReferenceChooser(inFlight, new DataCentre("dc-0"));
        Random random = new Random(11);
        for (int request = 0; request < 20_000; request++) {
            PlacementQuery query = randomQuery(random, request);
            PlacementChoice choice = chooser.choose(query).orElseThrow();
            PlacementChoice expected = reference.choose(query).orElseThrow();
            assertThat(choice.endpoint()).isEqualTo(expected.endpoint());
            assertThat(choice.rank()).isEqualTo(expected.rank());
            assertThat(choice.load()).isEqualTo(expected.load());
            assertThat(choice.limit()).isEqualTo(expected.limit());
            assertThat(choice.candidates()).isEqualTo(expected.candidates());
            assertThat(choice.holder()).isEqualTo(expected.holder());
            query.prompt().ifPresent(prompt -> {
                chooser.sent(prompt, choice.endpoint(), query.nowMillis());
                reference.sent(prompt, choice.endpoint(), query.nowMillis());
            });
            chooser.performance().loadReceived(choice.endpoint(), new EndpointLoad(1, 0, 12), query.nowMillis());
            chooser.performance()
                    .firstEvent(
                            choice.endpoint(),
                            choice.estimate().tokensToRead(),
                            40 + random.nextInt(40),
                            query.nowMillis());
            if (random.nextInt(3) > 0) {
                inFlight.started(choice.endpoint().id(), random.nextInt(1_000));
            } else if (request % 500 == 499) {
                endpoints.forEach(endpoint -> {
                    while (inFlight.ownAt(endpoint.id()).requests() > 0) {
                        inFlight.ended(endpoint.id(), 0);
                    }
                });
            }
        }
    }

    /** Load pattern: one endpoint twice as slow as the others. Guards against giving it as many requests. */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void aSlowEndpointReceivesFewerRequests(PlacementMethod method) {
        chooser.performance().method(method);
        state(Map.of("e0", 200));
        Map<String, Integer> sent = placeWithoutPrompt(8_000);
        assertThat(sent.getOrDefault("e0", 0)).isLessThan(750);
        assertThat(sent.getOrDefault("e0", 0)).isGreaterThan(400);
    }

    /**
     * Load pattern: 134 routers that learn at the same time that one endpoint is ten times as fast as the others.
     * Guards against all of them choosing it: it would receive all requests of 0.3 s.
     */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void routersDoNotAllChooseTheFastestEndpoint(PlacementMethod method) {
        List<ServiceEndpoint> many = endpoints(78);
        Map<String, Integer> sent = new HashMap<>();
        for (int router = 0; router < ROUTERS; router++) {
            EndpointChooser other = chooserBySpeed();
            other.performance().method(method);
            for (ServiceEndpoint endpoint : many) {
                int slowdown = endpoint.id().equals("e5") ? 10 : 100;
                for (int sample = 0; sample < 8; sample++) {
                    other.performance().loadReceived(endpoint, new EndpointLoad(0, 0, 12, slowdown), 0);
                }
            }
            for (int request = 0; request < 20; request++) {
                long hash = Rendezvous.hash("request-" + router + "-" + request);
                PlacementChoice choice = other.choose(
                                new PlacementQuery(many, many, many, Optional.empty(), hash, ROUTERS, 0))
                        .orElseThrow();
                sent.merge(choice.endpoint().id(), 1, Integer::sum);
            }
        }
        double share = sent.getOrDefault("e5", 0) / (ROUTERS * 20.0);
        double shareOfCapacity = 10.0 / (77 + 10);
        assertThat(share).isLessThan(1.3 * shareOfCapacity);
        assertThat(sent.size()).isAtLeast(75);
    }

    /** Guards requirement 1, at most 2 times the mean + 3 requests, where one endpoint is much faster than the others. */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void noEndpointExceedsTheLoadLimitHoweverFastItIs(PlacementMethod method) {
        chooser.performance().method(method);
        state(Map.of("e3", 10, "e4", 20));
        for (int request = 1; request <= 600; request++) {
            Optional<PromptDescription> prompt = request % 2 == 0
                    ? Optional.empty()
                    : Optional.of(prompt(request % 3 == 0 ? "hot" : "subject-" + request % 40, 5_000));
            PlacementChoice choice = chooser.choose(new PlacementQuery(
                            endpoints, endpoints, endpoints, prompt, Rendezvous.hash("r" + request), ROUTERS, 0))
                    .orElseThrow();
            inFlight.started(choice.endpoint().id(), 100);
            double mean = (double) request / endpoints.size();
            assertThat((double) inFlight.at(choice.endpoint().id()).requests()).isAtMost(2 * mean + 3);
        }
    }

    /** Guards against reading shared parts again at another endpoint because of a small difference in speed. */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void promptsKeepTheirEndpointIfAnotherIsALittleFaster(PlacementMethod method) {
        chooser.performance().method(method);
        state(Map.of("e0", 115, "e1", 110, "e2", 90, "e3", 85));
        for (int subject = 0; subject < 200; subject++) {
            assertThat(choose(prompt("subject-" + subject, 2_000), 0).rank()).isEqualTo(0);
        }
    }

    /**
     * Load pattern: one endpoint five times as slow as the others. Guards against leaving its prompts there, against
     * moving them all to the same other endpoint, and against moving other prompts.
     */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void promptsOfAMuchSlowerEndpointSpreadOverTheOthers(PlacementMethod method) {
        chooser.performance().method(method);
        Set<String> takers = new HashSet<>();
        Map<String, ServiceEndpoint> homes = new HashMap<>();
        for (int subject = 0; subject < 200; subject++) {
            homes.put(
                    "subject-" + subject,
                    choose(prompt("subject-" + subject, 400), 0).endpoint());
        }
        state(Map.of("e0", 500));
        homes.forEach((subject, home) -> {
            PlacementChoice choice = choose(prompt(subject, 400), 0);
            if (home.id().equals("e0")) {
                assertThat(choice.rank()).isEqualTo(1);
                assertThat(choice.holder()).isEqualTo(Optional.of(home));
                takers.add(choice.endpoint().id());
            } else {
                assertThat(choice.endpoint()).isEqualTo(home);
            }
        });
        assertThat(takers.size()).isAtLeast(5);
    }

    /** Guards against moving a long prompt whose reading at another endpoint takes longer than waiting. */
    @ParameterizedTest
    @ValueSource(ints = {12_000, 40_000})
    void longPromptsStayWhereShortOnesMove(int sharedTokens) {
        state(Map.of("e0", 500));
        assertThat(choose(prompt(subjectOf("e0", 0), 100), 0).rank()).isEqualTo(1);
        assertThat(choose(prompt(subjectOf("e0", 500), sharedTokens), 0).rank()).isEqualTo(0);
    }

    /**
     * Load pattern: a slowdown that changes every 500 ms between 1 and 9. Guards against a subject that moves back and
     * forth, so that its parts are read again and again.
     */
    @ParameterizedTest
    @EnumSource(names = {"TWO_CHOICES", "EXPECTED_TIME"})
    void aSubjectDoesNotMoveBackAndForth(PlacementMethod method) {
        chooser.performance().method(method);
        String subject = subjectOf("e0", 0);
        int moves = 0;
        String before = "e0";
        for (long nowMillis = 0; nowMillis < 30_000; nowMillis += 100) {
            int slowdown = nowMillis / 500 % 2 == 0 ? 100 : 900;
            for (ServiceEndpoint endpoint : endpoints) {
                chooser.performance()
                        .loadReceived(
                                endpoint,
                                new EndpointLoad(0, 0, 12, endpoint.id().equals("e0") ? slowdown : 100),
                                nowMillis);
            }
            String chosen = choose(prompt(subject, 2_000), nowMillis).endpoint().id();
            moves += chosen.equals(before) ? 0 : 1;
            before = chosen;
        }
        assertThat(moves).isAtMost(2);
    }

    /** Returns the first subject from a number on that belongs to an endpoint. */
    private String subjectOf(String endpointId, int from) {
        for (int subject = from; subject < from + 500; subject++) {
            String name = "subject-" + subject;
            long key = prompt(name, 1).chainHash(2);
            ServiceEndpoint home = endpoints.get(0);
            for (ServiceEndpoint endpoint : endpoints) {
                home = Rendezvous.mix(key, endpoint.hash()) > Rendezvous.mix(key, home.hash()) ? endpoint : home;
            }
            if (home.id().equals(endpointId)) {
                return name;
            }
        }
        throw new AssertionError("no subject belongs to " + endpointId);
    }

    private void state(Map<String, Integer> slowdownPercent) {
        for (ServiceEndpoint endpoint : endpoints) {
            for (int sample = 0; sample < 20; sample++) {
                chooser.performance()
                        .loadReceived(
                                endpoint,
                                new EndpointLoad(0, 0, 12, slowdownPercent.getOrDefault(endpoint.id(), 100)),
                                0);
            }
        }
        chooser.performance().speed(endpoints.get(0), 200);
    }

    private Map<String, Integer> placeWithoutPrompt(int requests) {
        Map<String, Integer> sent = new HashMap<>();
        for (int request = 0; request < requests; request++) {
            long hash = Rendezvous.hash("request-" + request);
            PlacementChoice choice = chooser.choose(
                            new PlacementQuery(endpoints, endpoints, endpoints, Optional.empty(), hash, ROUTERS, 0))
                    .orElseThrow();
            sent.merge(choice.endpoint().id(), 1, Integer::sum);
        }
        return sent;
    }

    private PlacementChoice choose(PromptDescription prompt, long nowMillis) {
        PlacementChoice choice = chooser.choose(
                        new PlacementQuery(endpoints, endpoints, endpoints, Optional.of(prompt), 1, ROUTERS, nowMillis))
                .orElseThrow();
        chooser.sent(prompt, choice.endpoint(), nowMillis);
        return choice;
    }

    private PlacementQuery randomQuery(Random random, int request) {
        int from = random.nextInt(4);
        int to = from + 1 + random.nextInt(endpoints.size() - from);
        Optional<PromptDescription> prompt = random.nextInt(4) == 0
                ? Optional.empty()
                : Optional.of(prompt("subject-" + random.nextInt(60), random.nextInt(9_000)));
        return new PlacementQuery(
                endpoints.subList(from, to),
                endpoints,
                endpoints.subList(random.nextInt(3), endpoints.size()),
                prompt,
                random.nextLong(),
                random.nextBoolean() ? 4 : ROUTERS,
                request * 20L);
    }

    private static PromptDescription prompt(String subject, int sharedTokens) {
        return new PromptDescription(
                "m",
                sharedTokens + 100,
                100,
                List.of(
                        new PromptPart("workspace", sharedTokens / 2),
                        new PromptPart(subject, sharedTokens - sharedTokens / 2),
                        new PromptPart("own", 100)));
    }

    private static List<ServiceEndpoint> endpoints(int count) {
        List<ServiceEndpoint> endpoints = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            endpoints.add(new ServiceEndpoint(
                    "e" + number,
                    "llm",
                    new Address("10.0.0." + (number + 1), 80),
                    new DataCentre("dc-" + number % 4),
                    12,
                    false));
        }
        return endpoints;
    }

    private EndpointChooser chooserBySpeed() {
        EndpointChooser bySpeed = new EndpointChooser(inFlight, new DataCentre("dc-0"));
        bySpeed.performance().method(PlacementMethod.TWO_CHOICES);
        return bySpeed;
    }
}
