package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.WorkReport;
import org.radishpass.routing.load.WorkReportExchange;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports work in flight, failing endpoints and live routers to other routers, according to the {@link GatheringPlan}.
 * State is confined to the control thread.
 */
final class WorkReporter {
    private static final Logger LOG = LoggerFactory.getLogger(WorkReporter.class);

    /**
     * Ticks between messages while every router reports to every other. A message at each tick took a seventh of a
     * router's processor time.
     */
    private static final int FULL_MESH_TICKS = 2;

    /** Ticks after which a message is sent although nothing has changed: 0.6 s. */
    private static final int HEARTBEAT_TICKS = 6;

    /**
     * Ticks between lists of the live routers: 5 s, far less than the time after which a router is removed from the
     * known peers.
     */
    private static final int ROUTER_LIST_TICKS = 50;

    /**
     * Ticks after the last addition of a router during which a gatherer reports with each tick: 2 s. Routers learn from
     * reports who gathers, and from gatherers of other routers. With heartbeats alone, some of 63 routers knew only 31
     * some seconds after all had been started.
     */
    private static final int DISCOVERY_TICKS = 20;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final FleetRouter self;
    private final WorkReportExchange work;
    private final ControlState controlState;
    private final PeerTable peers;
    private final PeerLinks links;
    private Set<String> reportedMembers = Set.of();
    private boolean gathering = true;
    private int ticksSinceReport;
    private int ticksSinceAddition;
    private int fullMeshTicks;
    private int ticksSinceRouterList = ROUTER_LIST_TICKS;

    WorkReporter(
            ControlThread thread,
            MonotonicClock clock,
            FleetRouter self,
            WorkReportExchange work,
            ControlState controlState,
            PeerTable peers,
            PeerLinks links) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.work = work;
        this.controlState = controlState;
        this.peers = peers;
        this.links = links;
    }

    /** Tells whether this router gathers its own work, as of its last report. */
    boolean gathering() {
        return gathering;
    }

    /** Reports what has changed. Called at a fixed interval. */
    void tick() {
        if (++ticksSinceRouterList >= ROUTER_LIST_TICKS) {
            ticksSinceRouterList = 0;
            sendRouterLists(clock.millis());
        }
        ticksSinceReport++;
        ticksSinceAddition++;
        if (peers.routerCount() > GatheringPlan.MAX_FULL_MESH_ROUTERS || ++fullMeshTicks % FULL_MESH_TICKS == 0) {
            requestReport();
        }
    }

    /** Reports at once, whether anything has changed or not. */
    void reportNow() {
        ticksSinceReport = HEARTBEAT_TICKS;
        requestReport();
    }

    /** Schedules the router lists for the next tick, because a router has been added. */
    void scheduleRouterLists() {
        ticksSinceAddition = 0;
        ticksSinceRouterList = ROUTER_LIST_TICKS;
    }

    /**
     * Sends the other gatherers the active routers of this group, and the members of this group all routers that are
     * not suspected.
     */
    private void sendRouterLists(long nowMillis) {
        GatheringPlan plan = GatheringPlan.of(self, peers.all(), nowMillis);
        if (!plan.gathers()) {
            return;
        }
        PeerMessage groupRouters =
                new RoutingMessage.RouterList(RoutingMessageMapper.toEntries(peers.activeRouters(nowMillis)));
        plan.peerGatherers().forEach(peer -> sendExpectingReply(peer, groupRouters, nowMillis));
        PeerMessage allRouters =
                new RoutingMessage.RouterList(RoutingMessageMapper.toEntries(peers.unsuspectedRouters()));
        members(nowMillis).forEach(peer -> send(peer, allRouters));
    }

    private void requestReport() {
        List<Peer> members = members(clock.millis());
        // a new member would otherwise place its requests without the work of others until the next heartbeat
        boolean newMember = members.stream().anyMatch(peer -> !reportedMembers.contains(peer.id()));
        boolean discovering = !members.isEmpty() && ticksSinceAddition < DISCOVERY_TICKS;
        boolean reportDue = ticksSinceReport >= HEARTBEAT_TICKS || newMember || discovering;
        work.workReport(
                members.stream().map(Peer::id).toList(), reportDue, report -> thread.run(() -> sendReport(report)));
    }

    private void sendReport(WorkReport report) {
        ticksSinceReport = 0;
        reportedMembers = report.withoutMember().keySet();
        long nowMillis = clock.millis();
        GatheringPlan plan = GatheringPlan.of(self, peers.all(), nowMillis);
        updateRole(plan);
        List<RoutingMessage.PartitionEntry> partitions = PartitionMapper.toEntries(self, report, nowMillis);
        PeerMessage ownState = plan.gathers()
                ? state(report.group(), report.failing(), WorkScope.GROUP, report.groupObservations(), partitions)
                : state(report.own(), report.failing(), WorkScope.MEMBER, report.ownObservations(), partitions);
        plan.ownGatherer().ifPresent(peer -> sendExpectingReply(peer, ownState, nowMillis));
        plan.peerGatherers().forEach(peer -> sendExpectingReply(peer, ownState, nowMillis));
        report.withoutMember()
                .forEach((id, othersWork) -> peers.find(id)
                        .ifPresent(peer -> send(
                                peer,
                                state(
                                        othersWork,
                                        report.allFailing(),
                                        WorkScope.OTHERS,
                                        report.observationsWithoutMember().getOrDefault(id, FleetObservations.NONE),
                                        partitions))));
        probe(plan, nowMillis);
    }

    /**
     * Probes the suspected peers to which this router would report. A probe introduces this router, and the peer
     * answers an introduction. If the probe reported this router's own work instead, a peer that is not a gatherer
     * would treat this router as a member and answer accordingly.
     */
    private void probe(GatheringPlan plan, long nowMillis) {
        PeerMessage introduction = new RoutingMessage.RouterList(List.of(RoutingMessageMapper.toEntry(self)));
        for (Peer peer : new ArrayList<>(peers.all())) {
            boolean sameDataCentre = peer.router().dataCentre().equals(self.dataCentre());
            if ((sameDataCentre || plan.gathers()) && peer.probeDue(nowMillis)) {
                peer.markSuspected(nowMillis);
                links.closeLink(peer.id());
                send(peer, introduction);
            }
        }
    }

    private void updateRole(GatheringPlan plan) {
        if (plan.gathers() != gathering) {
            gathering = plan.gathers();
            LOG.info(
                    "work in flight is now gathered by {}",
                    plan.ownGatherer().map(Peer::id).orElse("this router"),
                    LogEvent.GATHERER.field());
        }
    }

    private List<Peer> members(long nowMillis) {
        return peers.all().stream().filter(peer -> peer.isMember(nowMillis)).toList();
    }

    /** Sends a message to a router that reports its own work in turn, so that a missing reply indicates a failure. */
    private void sendExpectingReply(Peer peer, PeerMessage message, long nowMillis) {
        peer.expectReply(nowMillis);
        send(peer, message);
    }

    /**
     * Sends a message to a router that does not have to reply. A member stops reporting its work once another router
     * gathers that work. If the missing reply counted as a failure, two routers of an idle fleet would suspect each
     * other every 1.65 s.
     */
    private void send(Peer peer, PeerMessage message) {
        links.send(peer.vm(), message);
    }

    private PeerMessage state(
            Map<String, InFlight> work,
            List<String> failing,
            WorkScope scope,
            FleetObservations observations,
            List<RoutingMessage.PartitionEntry> partitions) {
        long nowMillis = clock.millis();
        DirectoryTracker directory = controlState.directory();
        return new RoutingMessage.RoutingState(
                controlState.configuration().version(),
                directory.listVersion().position().revision(),
                RoutingMessageMapper.toEntries(work),
                directory.hash(),
                directory.listVersion().storeMillis(),
                directory.listVersion().settled(),
                failing,
                scope,
                directory.ownReadStoreMillis(),
                RoutingMessageMapper.toDrainEntries(controlState.drains(), nowMillis),
                directory.leavingToAnnounce(),
                Math.max(
                        StorePosition.NO_ERA, directory.listVersion().position().era()),
                controlState.era().eraForPeers(),
                ObservationMapper.toDemandEntries(observations),
                ObservationMapper.toLoadEntries(observations, nowMillis),
                partitions);
    }
}
