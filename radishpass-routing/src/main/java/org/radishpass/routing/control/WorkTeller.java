package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.WorkReport;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.routing.traffic.TrafficServer;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells other routers of work in flight, of what is failing, and of routers that are alive, by the {@link GatheringPlan}. State
 * belongs to the control thread.
 */
final class WorkTeller {
    private static final Logger LOG = LoggerFactory.getLogger(WorkTeller.class);

    /** Ticks between messages where everyone tells everyone: at each, a seventh of a router's processor time. */
    private static final int FLAT_TICKS = 2;

    /** Ticks without a change until a message is sent all the same: 0.6 s. */
    private static final int QUIET_TICKS = 6;

    /** Ticks between lists of the routers that are alive: 5 s, far below the time after which one is forgotten. */
    private static final int LIST_TICKS = 50;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final FleetRouter self;
    private final TrafficServer traffic;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory;
    private final PeerBook peers;
    private final PeerNode node;
    private boolean gathering = true;
    private int quietTicks;
    private int flatTicks;
    private int listTicks = LIST_TICKS;

    WorkTeller(
            ControlThread thread,
            MonotonicClock clock,
            FleetRouter self,
            TrafficServer traffic,
            ConfigurationTracker configuration,
            DirectoryTracker directory,
            PeerBook peers,
            PeerNode node) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.traffic = traffic;
        this.configuration = configuration;
        this.directory = directory;
        this.peers = peers;
        this.node = node;
    }

    /** Tells whether this router gathers its own work, as far as it told last. */
    boolean gathering() {
        return gathering;
    }

    /** Tells what has changed; called at a fixed pace. */
    void tick() {
        if (++listTicks >= LIST_TICKS) {
            listTicks = 0;
            tellRouters(clock.millis());
        }
        quietTicks++;
        if (peers.routers() > GatheringPlan.FLAT_FLEET || ++flatTicks % FLAT_TICKS == 0) {
            tell();
        }
    }

    /** Tells at once, changed or not. */
    void tellNow() {
        quietTicks = QUIET_TICKS;
        tell();
    }

    /** With the next tick routers are told of each other. */
    void routersChanged() {
        listTicks = LIST_TICKS;
    }

    /** Tells other groups of this one's routers, and the members of this one of all. */
    private void tellRouters(long nowMillis) {
        GatheringPlan plan = GatheringPlan.of(self, peers.all(), nowMillis);
        if (!plan.gathers()) {
            return;
        }
        PeerMessage group = new RoutingMessage.RouterList(PeerStates.entries(peers.present(nowMillis)));
        plan.otherGatherers().forEach(peer -> send(peer, group, nowMillis));
        PeerMessage all = new RoutingMessage.RouterList(PeerStates.entries(peers.known()));
        members(nowMillis).forEach(peer -> send(peer, all, nowMillis));
    }

    private void tell() {
        boolean always = quietTicks >= QUIET_TICKS;
        List<String> members = members(clock.millis()).stream().map(Peer::id).toList();
        traffic.workReport(members, always, report -> thread.run(() -> tellAll(report)));
    }

    private void tellAll(WorkReport report) {
        quietTicks = 0;
        long nowMillis = clock.millis();
        GatheringPlan plan = GatheringPlan.of(self, peers.all(), nowMillis);
        noteRole(plan);
        PeerMessage own = plan.gathers()
                ? state(report.group(), report.failing(), WorkScope.GROUP)
                : state(report.own(), report.failing(), WorkScope.MEMBER);
        plan.otherGatherer().ifPresent(peer -> send(peer, own, nowMillis));
        plan.otherGatherers().forEach(peer -> send(peer, own, nowMillis));
        report.withoutMember()
                .forEach((id, others) -> peers.find(id)
                        .ifPresent(
                                peer -> send(peer, state(others, report.allFailing(), WorkScope.OTHERS), nowMillis)));
        probe(plan, own, nowMillis);
    }

    /** Tries those that are suspected, if this router would tell them something. */
    private void probe(GatheringPlan plan, PeerMessage own, long nowMillis) {
        for (Peer peer : new ArrayList<>(peers.all())) {
            boolean near = peer.router().dataCentre().equals(self.dataCentre());
            if ((near || plan.gathers()) && peer.probeDue(nowMillis)) {
                peer.suspect(nowMillis);
                node.drop(peer.id());
                node.send(peer.vm(), own);
            }
        }
    }

    private void noteRole(GatheringPlan plan) {
        if (plan.gathers() != gathering) {
            gathering = plan.gathers();
            LOG.info(
                    "work in flight is gathered by {}",
                    plan.otherGatherer().map(Peer::id).orElse("this router"),
                    LogEvent.GATHERER.field());
        }
    }

    private List<Peer> members(long nowMillis) {
        return peers.all().stream().filter(peer -> peer.member(nowMillis)).toList();
    }

    private void send(Peer peer, PeerMessage message, long nowMillis) {
        peer.asked(nowMillis);
        node.send(peer.vm(), message);
    }

    private PeerMessage state(Map<String, InFlight> work, List<String> failing, WorkScope scope) {
        return new RoutingMessage.RoutingState(
                configuration.version(),
                directory.reading().revision(),
                PeerStates.entries(work),
                directory.hash(),
                directory.reading().storeMillis(),
                directory.reading().settled(),
                failing,
                scope,
                directory.ownReadStoreMillis());
    }
}
