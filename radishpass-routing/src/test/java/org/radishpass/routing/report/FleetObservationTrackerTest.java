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
        tracker.recordPeerReport("member", WorkScope.MEMBER, load(90, 300), 1_000);
        assertThat(tracker.takePeerChange()).isTrue();
        tracker.recordPeerReport("member", WorkScope.MEMBER, load(90, 310), 1_100);
        assertThat(tracker.takePeerChange()).isFalse();
        tracker.recordPeerReport("member", WorkScope.MEMBER, load(90, 700), 1_200);
        assertThat(tracker.takePeerChange()).isTrue();
        tracker.recordPeerReport("member", WorkScope.MEMBER, load(95, 700), 1_250);
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

    /** Guards against an old load of an endpoint replacing a later one because of the order of the reports. */
    @Test
    void ofSeveralLoadsOfAnEndpointTheLatestCounts() {
        FleetObservationTracker loads = new FleetObservationTracker(nowMillis -> load(100, 50));
        loads.recordPeerReport("one", WorkScope.MEMBER, load(300, 90), 100);
        loads.recordPeerReport("other", WorkScope.MEMBER, load(200, 70), 100);
        assertThat(loads.all(100).loads())
                .containsExactlyElementsIn(load(300, 90).loads());
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

    private static FleetObservations load(int slowdownPercent, long observedAtMillis) {
        return new FleetObservations(
                List.of(), List.of(new EndpointObservation("endpoint", 1, 0, 8, slowdownPercent, 1, observedAtMillis)));
    }
}
