package org.radishpass.routing.control;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.quarantine.SuspectExchange;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;

/**
 * Reports requests that are suspected of crashing their endpoints to other routers, as soon as one is found. The
 * reports follow the {@link GatheringPlan}: a member reports to its gatherer, the gatherer to the other gatherers, and
 * each gatherer to its members. A router that is new or reachable again gets all suspected requests.
 *
 * <p>The end of an endpoint with five requests in progress costs each receiving router 229 bytes, twice. State is
 * confined to the control thread.
 */
final class SuspectReporter {
    /**
     * Delay after which a report is sent a second time. The first message may be lost with its connection, or with a
     * gatherer that has just ended.
     */
    private static final Duration RESEND_DELAY = Duration.ofSeconds(1);

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final FleetRouter self;
    private final SuspectExchange suspects;
    private final PeerTable peers;
    private final PeerLinks links;

    SuspectReporter(
            ControlThread thread,
            MonotonicClock clock,
            FleetRouter self,
            SuspectExchange suspects,
            PeerTable peers,
            PeerLinks links) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.suspects = suspects;
        this.peers = peers;
        this.links = links;
    }

    /** Reports what this router has found out. */
    void reportFound(SuspectReport report) {
        sendTwice(report, each -> forward(each, WorkScope.MEMBER, self.id()));
    }

    /**
     * Applies the report of a peer, and forwards the part that is new to the routers to which that peer does not
     * report.
     */
    void onMessage(String from, RoutingMessage.SuspectRequests message) {
        suspects.mergeSuspects(
                SuspectMessageMapper.toReport(message),
                from,
                added -> thread.run(() -> sendTwice(added, report -> forward(report, message.scope(), from))));
    }

    /** Sends a peer all suspected requests, because the peer has just started or was cut off. */
    void sendAllTo(Peer peer) {
        suspects.suspects(report -> thread.run(() -> {
            if (!report.isEmpty()) {
                links.send(peer.vm(), SuspectMessageMapper.toMessage(report, WorkScope.OTHERS));
            }
        }));
    }

    private void sendTwice(SuspectReport report, Consumer<SuspectReport> sender) {
        sender.accept(report);
        thread.scheduleAfter(RESEND_DELAY, () -> sender.accept(report.aged(RESEND_DELAY.toMillis())));
    }

    /**
     * Forwards a report to the routers that depend on this one. Routers need not agree on the gatherer, so a router may
     * have members although other gatherers do not treat it as a gatherer. Such a router forwards reports as well. Only
     * new information is forwarded, so forwarding ends.
     */
    private void forward(SuspectReport report, WorkScope scope, String from) {
        if (scope == WorkScope.MEMBER) {
            GatheringPlan plan = plan();
            send(plan.ownGatherer().stream().toList(), from, SuspectMessageMapper.toMessage(report, WorkScope.MEMBER));
            send(plan.peerGatherers(), from, SuspectMessageMapper.toMessage(report, WorkScope.GROUP));
        }
        send(members(), from, SuspectMessageMapper.toMessage(report, WorkScope.OTHERS));
    }

    private GatheringPlan plan() {
        return GatheringPlan.of(self, peers.all(), clock.millis());
    }

    private List<Peer> members() {
        long nowMillis = clock.millis();
        return peers.all().stream().filter(peer -> peer.isMember(nowMillis)).toList();
    }

    private void send(List<Peer> to, String excludedId, PeerMessage message) {
        to.stream().filter(peer -> !peer.id().equals(excludedId)).forEach(peer -> links.send(peer.vm(), message));
    }
}
