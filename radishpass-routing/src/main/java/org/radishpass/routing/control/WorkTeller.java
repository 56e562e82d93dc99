package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.WorkReport;
import org.radishpass.routing.load.WorkSource;
import org.radishpass.routing.traffic.MonotonicClock;
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
    private final WorkSource work;
    private final FleetView fleet;
    private final PeerBook peers;
    private final PeerLinks links;
    private boolean gathering = true;
    private int quietTicks;
    private int flatTicks;
    private int listTicks = LIST_TICKS;

    WorkTeller(
            ControlThread thread,
            MonotonicClock clock,
            FleetRouter self,
            WorkSource work,
            FleetView fleet,
            PeerBook peers,
            PeerLinks links) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.work = work;
        this.fleet = fleet;
        this.peers = peers;
        this.links = links;
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
        plan.otherGatherers().forEach(peer -> ask(peer, group, nowMillis));
        PeerMessage all = new RoutingMessage.RouterList(PeerStates.entries(peers.known()));
        members(nowMillis).forEach(peer -> send(peer, all));
    }

    private void tell() {
        boolean always = quietTicks >= QUIET_TICKS;
        List<String> members = members(clock.millis()).stream().map(Peer::id).toList();
        work.workReport(members, always, report -> thread.run(() -> tellAll(report)));
    }

    private void tellAll(WorkReport report) {
        quietTicks = 0;
        long nowMillis = clock.millis();
        GatheringPlan plan = GatheringPlan.of(self, peers.all(), nowMillis);
        noteRole(plan);
        PeerMessage own = plan.gathers()
                ? state(report.group(), report.failing(), WorkScope.GROUP)
                : state(report.own(), report.failing(), WorkScope.MEMBER);
        plan.otherGatherer().ifPresent(peer -> ask(peer, own, nowMillis));
        plan.otherGatherers().forEach(peer -> ask(peer, own, nowMillis));
        report.withoutMember()
                .forEach((id, others) -> peers.find(id)
                        .ifPresent(peer -> send(peer, state(others, report.allFailing(), WorkScope.OTHERS))));
        probe(plan, nowMillis);
    }

    /**
     * Tries those that are suspected, if this router would tell them something. It introduces itself, which they answer. Were its own
     * work told instead, a router that does not gather would take it for a member, and answer as to one.
     */
    private void probe(GatheringPlan plan, long nowMillis) {
        PeerMessage introduction = new RoutingMessage.RouterList(List.of(PeerStates.entry(self)));
        for (Peer peer : new ArrayList<>(peers.all())) {
            boolean near = peer.router().dataCentre().equals(self.dataCentre());
            if ((near || plan.gathers()) && peer.probeDue(nowMillis)) {
                peer.suspect(nowMillis);
                links.drop(peer.id());
                send(peer, introduction);
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

    /** Tells a router that tells its own work in turn, so that its silence means something. */
    private void ask(Peer peer, PeerMessage message, long nowMillis) {
        peer.asked(nowMillis);
        send(peer, message);
    }

    /**
     * Tells a router that owes nothing for it: a member ceases to tell its work once another router gathers that. Were its silence
     * taken for its end, two routers of a calm fleet would lose each other each 1.65 s.
     */
    private void send(Peer peer, PeerMessage message) {
        links.send(peer.vm(), message);
    }

    private PeerMessage state(Map<String, InFlight> work, List<String> failing, WorkScope scope) {
        DirectoryTracker directory = fleet.directory();
        return new RoutingMessage.RoutingState(
                fleet.configuration().version(),
                directory.reading().position().revision(),
                PeerStates.entries(work),
                directory.hash(),
                directory.reading().storeMillis(),
                directory.reading().settled(),
                failing,
                scope,
                directory.ownReadStoreMillis(),
                PeerStates.drains(fleet.drains(), clock.millis()),
                directory.leavingToTell(),
                Math.max(StorePosition.NO_ERA, directory.reading().position().era()),
                fleet.era().toTell());
    }
}
