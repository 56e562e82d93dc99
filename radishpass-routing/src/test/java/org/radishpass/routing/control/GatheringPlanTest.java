package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.FleetRouter;

/**
 * Checks which routers gather the work of which others. Routers are assigned to three data centres in turn, and routers
 * with higher numbers are larger.
 */
final class GatheringPlanTest {
    private static final int DATA_CENTRES = 3;
    private static final int LARGE_FLEET = 30;
    private static final long NOW = 10_000;

    @Test
    void everyRouterReportsToAllInASmallFleet() {
        GatheringPlan plan = GatheringPlan.of(router(0), peers(1, 9), NOW);
        assertThat(plan.gathers()).isTrue();
        assertThat(plan.peerGatherers()).hasSize(8);
    }

    @Test
    void aMemberReportsToTheLargestRouterOfItsDataCentre() {
        GatheringPlan plan = GatheringPlan.of(router(0), peers(1, LARGE_FLEET), NOW);
        assertThat(plan.ownGatherer().map(Peer::id)).hasValue(router(27).id());
        assertThat(plan.peerGatherers()).isEmpty();
    }

    @Test
    void theLargestRouterGathersAndReportsToTheLargestOfOtherDataCentres() {
        GatheringPlan plan = GatheringPlan.of(router(27), peers(0, 27, 28, LARGE_FLEET), NOW);
        assertThat(plan.gathers()).isTrue();
        assertThat(ids(plan.peerGatherers()))
                .containsExactly(router(28).id(), router(29).id());
    }

    @Test
    void aSuspectedGathererIsReplacedByTheNextLargest() {
        List<Peer> peers = peers(1, LARGE_FLEET);
        find(peers, 27).markSuspected(NOW);
        GatheringPlan plan = GatheringPlan.of(router(0), peers, NOW);
        assertThat(plan.ownGatherer().map(Peer::id)).hasValue(router(24).id());
    }

    @Test
    void aPeerThatActsAsGathererIsReportedTo() {
        List<Peer> peers = peers(0, 27, 28, LARGE_FLEET);
        find(peers, 4).recordState(state(WorkScope.GROUP), EndpointListVersion.NONE, NOW);
        GatheringPlan plan = GatheringPlan.of(router(27), peers, NOW);
        assertThat(ids(plan.peerGatherers()))
                .containsExactly(router(4).id(), router(29).id());
    }

    @Test
    void aDataCentreWithOnlySuspectedRoutersIsSkipped() {
        List<Peer> peers = peers(0, 27, 28, LARGE_FLEET);
        for (int number = 1; number < LARGE_FLEET; number += DATA_CENTRES) {
            find(peers, number).markSuspected(NOW);
        }
        GatheringPlan plan = GatheringPlan.of(router(27), peers, NOW);
        assertThat(ids(plan.peerGatherers())).containsExactly(router(29).id());
    }

    @Test
    void aReplyIsOverdueUntilThePeerSendsAMessage() {
        Peer peer = new Peer(router(1), 0);
        peer.expectReply(0);
        peer.expectReply(1_000);
        assertThat(peer.replyOverdue(Peer.REPLY_TIMEOUT_MILLIS)).isFalse();
        assertThat(peer.replyOverdue(Peer.REPLY_TIMEOUT_MILLIS + 1)).isTrue();
        peer.recordState(state(WorkScope.GROUP), EndpointListVersion.NONE, Peer.REPLY_TIMEOUT_MILLIS + 1);
        assertThat(peer.replyOverdue(Peer.REPLY_TIMEOUT_MILLIS + 1)).isFalse();
    }

    @Test
    void probesOfASuspectedPeerBackOff() {
        Peer peer = new Peer(router(1), 0);
        assertThat(peer.markSuspected(0)).isTrue();
        assertThat(peer.probeDue(999)).isFalse();
        assertThat(peer.probeDue(1_000)).isTrue();
        assertThat(peer.markSuspected(1_000)).isFalse();
        assertThat(peer.probeDue(2_999)).isFalse();
        assertThat(peer.probeDue(3_000)).isTrue();
        assertThat(peer.recordContact(3_000)).isTrue();
        assertThat(peer.suspected()).isFalse();
    }

    private static RoutingMessage.RoutingState state(WorkScope scope) {
        return new RoutingMessage.RoutingState(
                1, 1, List.of(), 0, 0, true, List.of(), scope, 0, List.of(), List.of(), 1, 1, List.of(), List.of(),
                List.of());
    }

    private static FleetRouter router(int number) {
        return new FleetRouter(
                new Address("10.0.0." + (number + 1), 7_340),
                new DataCentre("place-" + number % DATA_CENTRES),
                Math.floor(number / (double) DATA_CENTRES));
    }

    private static List<Peer> peers(int from, int to) {
        List<Peer> peers = new ArrayList<>();
        for (int number = from; number < to; number++) {
            peers.add(new Peer(router(number), NOW));
        }
        return peers;
    }

    private static List<Peer> peers(int from, int to, int nextFrom, int nextTo) {
        List<Peer> peers = peers(from, to);
        peers.addAll(peers(nextFrom, nextTo));
        return peers;
    }

    private static Peer find(List<Peer> peers, int number) {
        return peers.stream()
                .filter(peer -> peer.id().equals(router(number).id()))
                .findFirst()
                .orElseThrow();
    }

    private static List<String> ids(List<Peer> peers) {
        return peers.stream().map(Peer::id).toList();
    }
}
