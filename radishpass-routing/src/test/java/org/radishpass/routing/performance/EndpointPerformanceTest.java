package org.radishpass.routing.performance;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.dialect.EndpointLoad;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.report.FleetObservationTracker;
import org.radishpass.routing.report.FleetObservations;

/** Tests what is known of the speed of endpoints. */
final class EndpointPerformanceTest {
    private static final ServiceEndpoint ENDPOINT = endpoint("e@1");
    private static final ServiceEndpoint RESTARTED = endpoint("e@2");

    private final EndpointPerformance performance = withSpeeds();

    /** Load pattern: an endpoint that is twice as slow as the others. */
    @Test
    void severalStatementsShowThatAnEndpointIsTwiceAsSlow() {
        for (long nowMillis = 0; nowMillis < 2_000; nowMillis += 200) {
            performance.loadReceived(ENDPOINT, new EndpointLoad(1, 0, 12, 200), nowMillis);
        }
        assertThat(performance.speed(ENDPOINT, 2_000).slowdown()).isWithin(0.2).of(1.9);
        assertThat(performance.uneven(List.of(ENDPOINT), 2_000)).isTrue();
    }

    /** Load pattern: a slowdown that changes many times a second. Guards against following single figures. */
    @Test
    void aSlowdownThatChangesManyTimesASecondIsAveraged() {
        Random random = new Random(7);
        for (long nowMillis = 0; nowMillis < 10_000; nowMillis += 100) {
            performance.loadReceived(ENDPOINT, new EndpointLoad(1, 0, 12, 100 + random.nextInt(200)), nowMillis);
            if (nowMillis > 3_000) {
                assertThat(performance.speed(ENDPOINT, nowMillis).slowdown())
                        .isWithin(0.5)
                        .of(1.95);
            }
        }
    }

    /** Guards against avoiding an endpoint for good that is no longer used because it was slow once. */
    @Test
    void oldInformationDecaysTowardsTheUsualSpeed() {
        performance.loadReceived(ENDPOINT, new EndpointLoad(1, 0, 12, 1_000), 0);
        double before = performance.speed(ENDPOINT, 0).slowdown();
        for (long nowMillis = 500; nowMillis <= 6_000; nowMillis += 500) {
            double slowdown = performance.speed(ENDPOINT, nowMillis).slowdown();
            assertThat(slowdown).isAtMost(before);
            before = slowdown;
        }
        assertThat(performance.speed(ENDPOINT, 6_000)).isEqualTo(EndpointSpeed.USUAL);
        assertThat(performance.uneven(List.of(ENDPOINT), 6_000)).isFalse();
    }

    /** Guards against judging a restarted endpoint by the figures of its previous incarnation. */
    @Test
    void aNewIncarnationStartsWithTheUsualSpeed() {
        performance.loadReceived(ENDPOINT, new EndpointLoad(1, 0, 12, 500), 0);
        assertThat(performance.speed(RESTARTED, 0)).isEqualTo(EndpointSpeed.USUAL);
        performance.retain(new EndpointDirectory(List.of(RESTARTED)));
        assertThat(performance.observations(0)).isEqualTo(FleetObservations.NONE);
    }

    /**
     * Load pattern: 134 routers with 3 requests a second for 78 engines, so that each observes an engine every 26 s.
     * Guards against knowing nothing of most engines: together the routers observe each engine 5 times a second.
     */
    @Test
    void theObservationsOfAllRoutersSufficeIfEachObservesAnEndpointEvery26Seconds() {
        int routers = 134;
        List<EndpointPerformance> fleet = new ArrayList<>();
        List<FleetObservationTracker> trackers = new ArrayList<>();
        for (int router = 0; router < routers; router++) {
            EndpointPerformance member = withSpeeds();
            FleetObservationTracker tracker = new FleetObservationTracker(member);
            member.fleetLoads(tracker::loads);
            fleet.add(member);
            trackers.add(tracker);
        }
        Random random = new Random(3);
        for (long nowMillis = 0; nowMillis < 10_000; nowMillis += 200) {
            int observer = random.nextInt(routers);
            fleet.get(observer)
                    .loadReceived(ENDPOINT, new EndpointLoad(1, 0, 12, 150 + random.nextInt(100)), nowMillis);
            for (int router = 0; router < routers; router++) {
                FleetObservations own = fleet.get(router).observations(nowMillis);
                trackers.get(0).recordPeerReport("r" + router, WorkScope.MEMBER, own, nowMillis);
            }
            FleetObservations all = trackers.get(0).all(nowMillis);
            for (int router = 1; router < routers; router++) {
                trackers.get(router).recordPeerReport("r0", WorkScope.OTHERS, all, nowMillis);
            }
        }
        for (EndpointPerformance member : fleet) {
            assertThat(member.speed(ENDPOINT, 10_000).slowdown()).isWithin(0.35).of(1.9);
        }
    }

    /** Guards against reports, and a changed placement, in fleets whose endpoints state three figures. */
    @Test
    void nothingIsReportedIfNoEndpointStatesASlowdownOrDiffers() {
        Random random = new Random(5);
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 20) {
            ServiceEndpoint endpoint = endpoint("e" + random.nextInt(8));
            performance.loadReceived(endpoint, new EndpointLoad(3, 0, 8), nowMillis);
            long millis = Math.round(60 * Math.exp(0.7 * random.nextGaussian()));
            performance.firstEvent(endpoint, 0, millis, nowMillis);
            assertThat(performance.observations(nowMillis)).isEqualTo(FleetObservations.NONE);
            assertThat(performance.uneven(List.of(endpoint), nowMillis)).isFalse();
        }
    }

    /** Load pattern: an endpoint that states nothing and takes five times as long as the others. */
    @Test
    void anEndpointThatStatesNothingIsAssessedByItsResponses() {
        Random random = new Random(5);
        for (long nowMillis = 0; nowMillis < 20_000; nowMillis += 20) {
            int number = random.nextInt(8);
            long millis = Math.round((number == 0 ? 300 : 60) * Math.exp(0.3 * random.nextGaussian()));
            performance.firstEvent(endpoint("e" + number), 0, millis, nowMillis);
        }
        assertThat(performance.speed(endpoint("e0"), 20_000).slowdown()).isGreaterThan(2.0);
        assertThat(performance.speed(endpoint("e0"), 20_000).stated()).isFalse();
        assertThat(performance.speed(endpoint("e1"), 20_000)).isEqualTo(EndpointSpeed.USUAL);
    }

    /** Guards against a slow endpoint that looks usual because its prompts are short, and the reverse. */
    @Test
    void theExpectedTimeIncludesTheReadingOfThePrompt() {
        Random random = new Random(9);
        for (int response = 0; response < 500; response++) {
            int tokens = random.nextInt(12_000);
            performance.firstEvent(ENDPOINT, tokens, 40 + tokens / 66, response);
        }
        assertThat(performance.expectedMillis("s", 0)).isWithin(5).of(40);
        assertThat(performance.readingMillis("s", 6_600)).isWithin(5).of(100);
    }

    /** Guards against changes where the operator has selected the method without speeds. */
    @Test
    void theMethodByRequestsReportsNothing() {
        performance.method(PlacementMethod.REQUESTS);
        performance.loadReceived(ENDPOINT, new EndpointLoad(1, 0, 12, 500), 0);
        assertThat(performance.observations(0)).isEqualTo(FleetObservations.NONE);
        assertThat(performance.uneven(List.of(ENDPOINT), 0)).isFalse();
    }

    /** Guards against reports that grow with the number of endpoints without a bound. */
    @Test
    void theNumberOfReportedEndpointsIsBounded() {
        for (int number = 0; number < 10_000; number++) {
            performance.loadReceived(endpoint("e" + number), new EndpointLoad(1, 0, 12, 120), 0);
        }
        assertThat(performance.observations(0).loads()).hasSize(EndpointPerformance.MAX_REPORTED);
    }

    private static ServiceEndpoint endpoint(String id) {
        return new ServiceEndpoint(id, "s", new Address("10.0.0.1", 80), new DataCentre("dc"), 12, false);
    }

    private static EndpointPerformance withSpeeds() {
        EndpointPerformance performance = new EndpointPerformance();
        performance.method(PlacementMethod.TWO_CHOICES);
        return performance;
    }
}
