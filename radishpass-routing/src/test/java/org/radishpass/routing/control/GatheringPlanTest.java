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

/** Checks who gathers for whom. Routers stand in three data centres by turns; the later ones are larger. */
final class GatheringPlanTest {
    private static final int PLACES = 3;
    private static final int LARGE_FLEET = 30;
    private static final long NOW = 10_000;

    @Test
    void inASmallFleetEveryoneTellsEveryone() {
        GatheringPlan plan = GatheringPlan.of(router(0), peers(1, 9), NOW);
        assertThat(plan.gathers()).isTrue();
        assertThat(plan.otherGatherers()).hasSize(8);
    }

    @Test
    void aMemberTellsTheLargestOfItsDataCentre() {
        GatheringPlan plan = GatheringPlan.of(router(0), peers(1, LARGE_FLEET), NOW);
        assertThat(plan.otherGatherer().map(Peer::id)).hasValue(router(27).id());
        assertThat(plan.otherGatherers()).isEmpty();
    }

    @Test
    void theLargestGathersAndTellsTheLargestElsewhere() {
        GatheringPlan plan = GatheringPlan.of(router(27), peers(0, 27, 28, LARGE_FLEET), NOW);
        assertThat(plan.gathers()).isTrue();
        assertThat(ids(plan.otherGatherers()))
                .containsExactly(router(28).id(), router(29).id());
    }

    @Test
    void aGathererThatDoesNotAnswerIsReplacedByTheNext() {
        List<Peer> peers = peers(1, LARGE_FLEET);
        find(peers, 27).suspect(NOW);
        GatheringPlan plan = GatheringPlan.of(router(0), peers, NOW);
        assertThat(plan.otherGatherer().map(Peer::id)).hasValue(router(24).id());
    }

    @Test
    void whoeverSpeaksForAGroupIsTold() {
        List<Peer> peers = peers(0, 27, 28, LARGE_FLEET);
        find(peers, 4).told(state(WorkScope.GROUP), ListReading.NONE, NOW);
        GatheringPlan plan = GatheringPlan.of(router(27), peers, NOW);
        assertThat(ids(plan.otherGatherers()))
                .containsExactly(router(4).id(), router(29).id());
    }

    @Test
    void aDataCentreOfWhichNobodyAnswersIsToldNothing() {
        List<Peer> peers = peers(0, 27, 28, LARGE_FLEET);
        for (int number = 1; number < LARGE_FLEET; number += PLACES) {
            find(peers, number).suspect(NOW);
        }
        GatheringPlan plan = GatheringPlan.of(router(27), peers, NOW);
        assertThat(ids(plan.otherGatherers())).containsExactly(router(29).id());
    }

    @Test
    void aPeerThatOwesAnAnswerIsSilentUntilItIsHeard() {
        Peer peer = new Peer(router(1), 0);
        peer.asked(0);
        peer.asked(1_000);
        assertThat(peer.silent(Peer.SILENT_MILLIS)).isFalse();
        assertThat(peer.silent(Peer.SILENT_MILLIS + 1)).isTrue();
        peer.told(state(WorkScope.GROUP), ListReading.NONE, Peer.SILENT_MILLIS + 1);
        assertThat(peer.silent(Peer.SILENT_MILLIS + 1)).isFalse();
    }

    @Test
    void aSuspectedPeerIsTriedAgainAfterLongerAndLongerPauses() {
        Peer peer = new Peer(router(1), 0);
        assertThat(peer.suspect(0)).isTrue();
        assertThat(peer.probeDue(999)).isFalse();
        assertThat(peer.probeDue(1_000)).isTrue();
        assertThat(peer.suspect(1_000)).isFalse();
        assertThat(peer.probeDue(2_999)).isFalse();
        assertThat(peer.probeDue(3_000)).isTrue();
        assertThat(peer.heard(3_000)).isTrue();
        assertThat(peer.suspected()).isFalse();
    }

    private static RoutingMessage.RoutingState state(WorkScope scope) {
        return new RoutingMessage.RoutingState(
                1, 1, List.of(), 0, 0, true, List.of(), scope, 0, List.of(), List.of(), 1, 1);
    }

    private static FleetRouter router(int number) {
        return new FleetRouter(
                new Address("10.0.0." + (number + 1), 7_340),
                new DataCentre("place-" + number % PLACES),
                Math.floor(number / (double) PLACES));
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
