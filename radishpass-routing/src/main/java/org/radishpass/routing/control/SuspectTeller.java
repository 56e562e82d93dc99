package org.radishpass.routing.control;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.quarantine.SuspectSource;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;

/**
 * Tells other routers of requests that may end their endpoints, as soon as one is found, along the {@link GatheringPlan}: a member tells
 * its gatherer, that the other gatherers, and each its members. A router that is met, or met again after a cut, is told all.
 *
 * <p>An end with five requests at work costs each router that hears of it 229 bytes, twice. State belongs to the control thread.
 */
final class SuspectTeller {
    /** After how long news is told once more: a message may be lost with its connection, or with a gatherer that has just ended. */
    private static final Duration AGAIN = Duration.ofSeconds(1);

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final FleetRouter self;
    private final SuspectSource suspects;
    private final PeerBook peers;
    private final PeerLinks links;

    SuspectTeller(
            ControlThread thread,
            MonotonicClock clock,
            FleetRouter self,
            SuspectSource suspects,
            PeerBook peers,
            PeerLinks links) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.suspects = suspects;
        this.peers = peers;
        this.links = links;
    }

    /** Tells what this router has found out. */
    void found(SuspectReport news) {
        twice(news, report -> passOn(report, WorkScope.MEMBER, self.id()));
    }

    /** Takes what a peer tells, and passes on what of it is news to those that the peer does not tell. */
    void told(String from, RoutingMessage.SuspectRequests message) {
        suspects.suspectsTold(
                SuspectMessages.report(message),
                from,
                news -> thread.run(() -> twice(news, report -> passOn(report, message.scope(), from))));
    }

    /** Tells a peer all that is believed, so that a router that has just started, or was cut off, knows it too. */
    void met(Peer peer) {
        suspects.suspects(report -> thread.run(() -> {
            if (!report.isEmpty()) {
                links.send(peer.vm(), SuspectMessages.message(report, WorkScope.OTHERS));
            }
        }));
    }

    private void twice(SuspectReport report, Consumer<SuspectReport> tell) {
        tell.accept(report);
        thread.after(AGAIN, () -> tell.accept(report.aged(AGAIN.toMillis())));
    }

    /**
     * Tells those that depend on this router. Routers need not agree on who gathers, so that one may have members without being a
     * gatherer to others; it passes on what it hears either way. Only news is passed on, which ends every round.
     */
    private void passOn(SuspectReport report, WorkScope scope, String from) {
        if (scope == WorkScope.MEMBER) {
            GatheringPlan plan = plan();
            send(plan.otherGatherer().stream().toList(), from, SuspectMessages.message(report, WorkScope.MEMBER));
            send(plan.otherGatherers(), from, SuspectMessages.message(report, WorkScope.GROUP));
        }
        send(members(), from, SuspectMessages.message(report, WorkScope.OTHERS));
    }

    private GatheringPlan plan() {
        return GatheringPlan.of(self, peers.all(), clock.millis());
    }

    private List<Peer> members() {
        long nowMillis = clock.millis();
        return peers.all().stream().filter(peer -> peer.member(nowMillis)).toList();
    }

    private void send(List<Peer> to, String butNotTo, PeerMessage message) {
        to.stream().filter(peer -> !peer.id().equals(butNotTo)).forEach(peer -> links.send(peer.vm(), message));
    }
}
