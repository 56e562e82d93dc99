package org.radishpass.routing.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.radishpass.peer.message.WorkScope;

/** Tests the sum of this router's own work and of the work that peers report. */
final class InFlightTrackerTest {
    private final InFlightTracker inFlight = new InFlightTracker();

    @Test
    void ownWorkAndReportedWorkAreSummed() {
        inFlight.started("a", 100);
        inFlight.recordPeerReport(
                "peer", WorkScope.GROUP, Map.of("a", new InFlight(2, 30), "b", new InFlight(1, 5)), 0);

        assertThat(inFlight.at("a")).isEqualTo(new InFlight(3, 130));
        assertThat(inFlight.at("b")).isEqualTo(new InFlight(1, 5));
        assertThat(inFlight.ownAt("a")).isEqualTo(new InFlight(1, 100));
    }

    @Test
    void aReportReplacesThePreviousReportOfThePeer() {
        inFlight.recordPeerReport("peer", WorkScope.GROUP, Map.of("a", new InFlight(2, 30)), 0);
        inFlight.recordPeerReport("peer", WorkScope.GROUP, Map.of("b", new InFlight(1, 5)), 10);

        assertThat(inFlight.at("a")).isEqualTo(InFlight.NONE);
        assertThat(inFlight.at("b")).isEqualTo(new InFlight(1, 5));
    }

    @Test
    void theReportOfASilentPeerExpires() {
        inFlight.recordPeerReport("peer", WorkScope.GROUP, Map.of("a", new InFlight(2, 30)), 0);

        inFlight.removeExpiredReports(InFlightTracker.PEER_REPORT_VALID_MILLIS);
        assertThat(inFlight.at("a").requests()).isEqualTo(2);
        inFlight.removeExpiredReports(InFlightTracker.PEER_REPORT_VALID_MILLIS + 1);
        assertThat(inFlight.at("a")).isEqualTo(InFlight.NONE);
    }

    @Test
    void changesAreReturnedOnceAndIncludeEndpointsThatBecameIdle() {
        inFlight.started("a", 1);
        assertThat(inFlight.takeChanges()).containsExactly("a", new InFlight(1, 1));
        assertThat(inFlight.takeChanges()).isEmpty();
        inFlight.ended("a", 1);
        assertThat(inFlight.takeChanges()).containsExactly("a", InFlight.NONE);
        assertThat(inFlight.ownWork()).isEmpty();
    }

    @Test
    void theWorkOfAMemberIsPartOfItsGroupAndIsNotReportedBackToIt() {
        inFlight.started("a", 100);
        inFlight.recordPeerReport("member", WorkScope.MEMBER, Map.of("a", new InFlight(2, 30)), 0);
        inFlight.recordPeerReport("other", WorkScope.GROUP, Map.of("a", new InFlight(4, 40)), 0);

        assertThat(inFlight.groupWork()).containsExactly("a", new InFlight(3, 130));
        assertThat(inFlight.workWithout("member")).containsExactly("a", new InFlight(5, 140));
        assertThat(inFlight.at("a")).isEqualTo(new InFlight(7, 170));
    }

    /** Guards against a gatherer that reports to its members although nothing has changed, or keeps a change back. */
    @Test
    void aPeerReportIsAChangeOnlyIfItsWorkDiffers() {
        inFlight.recordPeerReport("member", WorkScope.MEMBER, Map.of("a", new InFlight(2, 30)), 0);
        assertThat(inFlight.takePeerChange()).isTrue();
        inFlight.recordPeerReport("member", WorkScope.MEMBER, Map.of("a", new InFlight(2, 30)), 100);
        assertThat(inFlight.takePeerChange()).isFalse();
        inFlight.recordPeerReport("member", WorkScope.MEMBER, Map.of("a", new InFlight(2, 31)), 200);
        assertThat(inFlight.takePeerChange()).isTrue();
        inFlight.recordPeerReport("member", WorkScope.MEMBER, Map.of(), 300);
        assertThat(inFlight.takePeerChange()).isTrue();
        assertThat(inFlight.at("a")).isEqualTo(InFlight.NONE);
    }

    /** Guards against an unchanged report that does not count as a sign of life. */
    @Test
    void anUnchangedReportIsValidFromItsOwnTimeOn() {
        inFlight.recordPeerReport("peer", WorkScope.GROUP, Map.of("a", new InFlight(2, 30)), 0);
        inFlight.recordPeerReport("peer", WorkScope.GROUP, Map.of("a", new InFlight(2, 30)), 1_000);

        inFlight.removeExpiredReports(1_000 + InFlightTracker.PEER_REPORT_VALID_MILLIS);
        assertThat(inFlight.at("a").requests()).isEqualTo(2);
        assertThat(inFlight.takePeerChange()).isTrue();
        inFlight.removeExpiredReports(1_001 + InFlightTracker.PEER_REPORT_VALID_MILLIS);
        assertThat(inFlight.takePeerChange()).isTrue();
    }

    @Test
    void aReportOnAllOthersReplacesReportsOfSingleGroups() {
        inFlight.recordPeerReport("early", WorkScope.GROUP, Map.of("a", new InFlight(1, 1)), 0);
        inFlight.recordPeerReport("gatherer", WorkScope.OTHERS, Map.of("a", new InFlight(3, 3)), 10);
        inFlight.recordPeerReport("late", WorkScope.GROUP, Map.of("a", new InFlight(1, 1)), 20);

        assertThat(inFlight.at("a").requests()).isEqualTo(3);
    }

    @Test
    void aReportOfANewGathererReplacesTheReportOfThePreviousOne() {
        inFlight.recordPeerReport("before", WorkScope.OTHERS, Map.of("a", new InFlight(3, 3)), 0);
        inFlight.recordPeerReport("after", WorkScope.OTHERS, Map.of("a", new InFlight(4, 4)), 10);

        assertThat(inFlight.at("a").requests()).isEqualTo(4);
    }

    @Test
    void reportsOfGroupsCountAgainOnceTheReportOnAllOthersHasExpired() {
        inFlight.recordPeerReport("gatherer", WorkScope.OTHERS, Map.of("a", new InFlight(3, 3)), 0);
        inFlight.recordPeerReport(
                "group", WorkScope.GROUP, Map.of("a", new InFlight(2, 2)), InFlightTracker.OTHERS_REPORT_VALID_MILLIS);

        assertThat(inFlight.at("a").requests()).isEqualTo(2);
    }
}
