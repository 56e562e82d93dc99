package org.radishpass.routing.report;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.peer.message.WorkScope;

final class FleetObservationTrackerTest {
    private static final FleetObservations OWN = demand(1);

    private final FleetObservationTracker tracker = new FleetObservationTracker(nowMillis -> OWN);

    /** Guards against counting a member's demand twice when its gatherer reports the demand of the others to it. */
    @Test
    void theReportToAMemberExcludesTheMembersOwnDemand() {
        tracker.recordPeerReport("member", WorkScope.MEMBER, demand(2), 0);
        tracker.recordPeerReport("gatherer", WorkScope.GROUP, demand(4), 0);
        FleetObservations all = tracker.all(0);
        assertThat(arrived(all)).isEqualTo(7);
        assertThat(arrived(tracker.without(all, "member", 0))).isEqualTo(5);
        assertThat(arrived(tracker.group(0))).isEqualTo(3);
    }

    /** Guards against counting the same routers twice while the gatherer of a group changes. */
    @Test
    void aReportOnAllOthersReplacesReportsOfSingleGroups() {
        tracker.recordPeerReport("early", WorkScope.GROUP, demand(2), 0);
        tracker.recordPeerReport("gatherer", WorkScope.OTHERS, demand(8), 10);
        tracker.recordPeerReport("late", WorkScope.GROUP, demand(2), 20);
        assertThat(arrived(tracker.all(20))).isEqualTo(9);
    }

    /** Guards against counting the demand of a router that has been cut off or is gone. */
    @Test
    void aPeerThatNoLongerReportsCountsAsWithoutDemand() {
        tracker.recordPeerReport("member", WorkScope.MEMBER, demand(2), 0);
        assertThat(arrived(tracker.all(FleetObservationTracker.REPORT_VALID_MILLIS + 1)))
                .isEqualTo(1);
    }

    /** Guards against reports to members ten times a second because the ages of old loads arrive with another delay. */
    @Test
    void aReportIsAChangeOnlyWithOtherDemandOrANewLoad() {
        tracker.recordPeerReport("member", WorkScope.MEMBER, load(90, 1, 300), 1_000);
        assertThat(tracker.takePeerChange()).isTrue();
        tracker.recordPeerReport("member", WorkScope.MEMBER, load(90, 1, 310), 1_100);
        assertThat(tracker.takePeerChange()).isFalse();
        tracker.recordPeerReport("member", WorkScope.MEMBER, load(90, 1, 700), 1_200);
        assertThat(tracker.takePeerChange()).isTrue();
        tracker.recordPeerReport("member", WorkScope.MEMBER, load(95, 1, 700), 1_250);
        assertThat(tracker.takePeerChange()).isTrue();
        tracker.recordPeerReport("member", WorkScope.MEMBER, demand(2), 1_300);
        assertThat(tracker.takePeerChange()).isTrue();
        tracker.recordPeerReport("member", WorkScope.MEMBER, demand(2), 1_400);
        assertThat(tracker.takePeerChange()).isFalse();
    }

    /** Guards against losing the demand between two reports of it, which are rarer than those of work in flight. */
    @Test
    void demandStaysInForceUntilItExpiresIfLaterReportsHaveNone() {
        tracker.recordPeerReport("member", WorkScope.MEMBER, demand(2), 0);
        tracker.recordPeerReport("member", WorkScope.MEMBER, FleetObservations.NONE, 1_000);
        tracker.recordPeerReport("member", WorkScope.MEMBER, FleetObservations.NONE, 2_900);
        assertThat(arrived(tracker.all(3_000))).isEqualTo(3);
        assertThat(tracker.demandAgeMillis(3_000).orElse(-1)).isEqualTo(3_000);
        assertThat(arrived(tracker.all(3_001))).isEqualTo(1);
        assertThat(tracker.demandAgeMillis(3_001).isPresent()).isFalse();
        assertThat(arrived(tracker.without(tracker.all(3_001), "member", 3_001)))
                .isEqualTo(1);
    }

    /**
     * Guards against an old load of an endpoint replacing a later one because of the order of the reports, and against
     * a slowdown that depends on that order.
     */
    @Test
    void ofSeveralLoadsOfAnEndpointTheLatestCountsAndTheSlowdownIsAMean() {
        List<FleetObservations> reports = List.of(load(300, 1, 90), load(200, 2, 70), load(100, 3, 50));
        for (List<Integer> order : List.of(
                List.of(0, 1, 2),
                List.of(0, 2, 1),
                List.of(1, 0, 2),
                List.of(1, 2, 0),
                List.of(2, 0, 1),
                List.of(2, 1, 0))) {
            FleetObservationTracker loads = new FleetObservationTracker(nowMillis -> reports.get(order.get(0)));
            loads.recordPeerReport("one", WorkScope.MEMBER, reports.get(order.get(1)), 100);
            loads.recordPeerReport("other", WorkScope.MEMBER, reports.get(order.get(2)), 100);
            assertThat(loads.loads(100)).containsExactly(new EndpointObservation("endpoint", 1, 0, 8, 167, 6, 90));
        }
    }

    /** Guards against outdated figures of an endpoint that only one router has used. */
    @Test
    void ofReportsOfDifferentAgeTheRecentCountsMost() {
        FleetObservationTracker loads = new FleetObservationTracker(nowMillis -> load(100, 1, 0));
        loads.recordPeerReport("one", WorkScope.MEMBER, load(300, 1, 3_000), 3_000);
        assertThat(loads.loads(3_000).get(0).slowdownPercent()).isGreaterThan(270);
        assertThat(loads.loads(4_600).get(0).slowdownPercent()).isEqualTo(300);
        assertThat(loads.loads(8_000)).isEmpty();
    }

    /** Guards against response times, which differ between equal requests, outweighing what an endpoint states. */
    @Test
    void aStatedSlowdownTakesPrecedenceOverAMeasuredOne() {
        EndpointObservation measured = EndpointObservation.measured("endpoint", 900, 50, 90);
        FleetObservationTracker loads = new FleetObservationTracker(nowMillis -> load(100, 1, 50));
        loads.recordPeerReport("one", WorkScope.MEMBER, new FleetObservations(List.of(), List.of(measured)), 90);
        assertThat(loads.loads(90)).containsExactlyElementsIn(load(100, 1, 50).loads());
    }

    /** Guards against a peer whose figures make every router avoid or prefer an endpoint. */
    @Test
    void impossibleLoadsOfPeersAreIgnoredAndCounted() {
        FleetObservationTracker loads = new FleetObservationTracker(nowMillis -> FleetObservations.NONE);
        loads.recordPeerReport(
                "one",
                WorkScope.MEMBER,
                new FleetObservations(
                        List.of(),
                        List.of(
                                new EndpointObservation("a", 1, 0, 8, -100, 1, 0),
                                new EndpointObservation("b", 1, 0, 8, 1_000_000_000, 1, 0),
                                new EndpointObservation("c", -1, 0, 8, 100, 1, 0),
                                new EndpointObservation("d", 1, 1_000_000_000, 8, 100, 1, 0),
                                new EndpointObservation("e", 1, 0, -8, 100, 1, 0),
                                new EndpointObservation("f", 1, 0, 8, 100, 0, 0),
                                new EndpointObservation("g", 1, 0, 8, 100, Integer.MAX_VALUE, 0),
                                new EndpointObservation("good", 1, 0, 8, 100, 1, 0))),
                0);
        assertThat(loads.loads(0)).containsExactly(new EndpointObservation("good", 1, 0, 8, 100, 1, 0));
        assertThat(loads.ignoredLoads()).isEqualTo(7);
    }

    /** Guards against reports that take the link of a small router: loads are sent to members three times a second. */
    @Test
    void loadsAreReportedToMembersAtIntervalsAndKeptThereInBetween() {
        FleetObservationTracker gatherer = new FleetObservationTracker(nowMillis -> load(200, 1, 0));
        FleetObservationTracker member = new FleetObservationTracker(nowMillis -> FleetObservations.NONE);
        int reports = 0;
        for (long nowMillis = 0; nowMillis < 1_000; nowMillis += 100) {
            FleetObservations all = gatherer.forMembers(nowMillis);
            reports += all.loads().isEmpty() ? 0 : 1;
            member.recordPeerReport("gatherer", WorkScope.OTHERS, all, nowMillis);
            assertThat(member.loads(nowMillis)).hasSize(1);
        }
        assertThat(reports).isEqualTo(4);
    }

    private static double arrived(FleetObservations observations) {
        return observations.demand().stream()
                .mapToDouble(ServiceDemand::arrived)
                .sum();
    }

    private static FleetObservations demand(double arrived) {
        return new FleetObservations(
                List.of(new ServiceDemand("service", "workspace", 1, arrived, 0, 0, 0)), List.of());
    }

    private static FleetObservations load(int slowdownPercent, int samples, long observedAtMillis) {
        return new FleetObservations(
                List.of(),
                List.of(new EndpointObservation("endpoint", 1, 0, 8, slowdownPercent, samples, observedAtMillis)));
    }
}
