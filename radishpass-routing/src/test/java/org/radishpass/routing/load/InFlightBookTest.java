package org.radishpass.routing.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.radishpass.peer.message.WorkScope;

/** Tests the sum of this router's own work and of the work that peers report. */
final class InFlightBookTest {
    private final InFlightBook book = new InFlightBook();

    @Test
    void ownWorkAndReportedWorkAreSummed() {
        book.started("a", 100);
        book.peerTold("peer", WorkScope.GROUP, Map.of("a", new InFlight(2, 30), "b", new InFlight(1, 5)), 0);

        assertThat(book.at("a")).isEqualTo(new InFlight(3, 130));
        assertThat(book.at("b")).isEqualTo(new InFlight(1, 5));
        assertThat(book.ownAt("a")).isEqualTo(new InFlight(1, 100));
    }

    @Test
    void aReportReplacesThePreviousReportOfThePeer() {
        book.peerTold("peer", WorkScope.GROUP, Map.of("a", new InFlight(2, 30)), 0);
        book.peerTold("peer", WorkScope.GROUP, Map.of("b", new InFlight(1, 5)), 10);

        assertThat(book.at("a")).isEqualTo(InFlight.NONE);
        assertThat(book.at("b")).isEqualTo(new InFlight(1, 5));
    }

    @Test
    void theReportOfASilentPeerExpires() {
        book.peerTold("peer", WorkScope.GROUP, Map.of("a", new InFlight(2, 30)), 0);

        book.forgetSilentPeers(InFlightBook.PEER_REPORT_VALID_MILLIS);
        assertThat(book.at("a").requests()).isEqualTo(2);
        book.forgetSilentPeers(InFlightBook.PEER_REPORT_VALID_MILLIS + 1);
        assertThat(book.at("a")).isEqualTo(InFlight.NONE);
    }

    @Test
    void changesAreReturnedOnceAndIncludeEndpointsThatBecameIdle() {
        book.started("a", 1);
        assertThat(book.takeChanges()).containsExactly("a", new InFlight(1, 1));
        assertThat(book.takeChanges()).isEmpty();
        book.ended("a", 1);
        assertThat(book.takeChanges()).containsExactly("a", InFlight.NONE);
        assertThat(book.ownWork()).isEmpty();
    }

    @Test
    void theWorkOfAMemberIsPartOfItsGroupAndIsNotReportedBackToIt() {
        book.started("a", 100);
        book.peerTold("member", WorkScope.MEMBER, Map.of("a", new InFlight(2, 30)), 0);
        book.peerTold("other", WorkScope.GROUP, Map.of("a", new InFlight(4, 40)), 0);

        assertThat(book.groupWork()).containsExactly("a", new InFlight(3, 130));
        assertThat(book.workWithout("member")).containsExactly("a", new InFlight(5, 140));
        assertThat(book.at("a")).isEqualTo(new InFlight(7, 170));
    }

    @Test
    void aReportOnAllOthersReplacesReportsOfSingleGroups() {
        book.peerTold("early", WorkScope.GROUP, Map.of("a", new InFlight(1, 1)), 0);
        book.peerTold("gatherer", WorkScope.OTHERS, Map.of("a", new InFlight(3, 3)), 10);
        book.peerTold("late", WorkScope.GROUP, Map.of("a", new InFlight(1, 1)), 20);

        assertThat(book.at("a").requests()).isEqualTo(3);
    }

    @Test
    void aReportOfANewGathererReplacesTheReportOfThePreviousOne() {
        book.peerTold("before", WorkScope.OTHERS, Map.of("a", new InFlight(3, 3)), 0);
        book.peerTold("after", WorkScope.OTHERS, Map.of("a", new InFlight(4, 4)), 10);

        assertThat(book.at("a").requests()).isEqualTo(4);
    }

    @Test
    void reportsOfGroupsCountAgainOnceTheReportOnAllOthersHasExpired() {
        book.peerTold("gatherer", WorkScope.OTHERS, Map.of("a", new InFlight(3, 3)), 0);
        book.peerTold(
                "group", WorkScope.GROUP, Map.of("a", new InFlight(2, 2)), InFlightBook.OTHERS_REPORT_VALID_MILLIS);

        assertThat(book.at("a").requests()).isEqualTo(2);
    }
}
