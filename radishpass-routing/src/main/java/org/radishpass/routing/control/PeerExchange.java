package org.radishpass.routing.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.transport.PeerHandler;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetMembers;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.load.WorkSource;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.quarantine.SuspectSource;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * What this router hears from others: who they are, their work in flight, and by {@link DocumentExchange} what is newer than
 * what it has. {@link WorkTeller} tells in turn. State belongs to the control thread.
 */
final class PeerExchange implements PeerHandler {
    private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);

    /** Milliseconds between ticks. */
    private static final long TICK_MILLIS = 100;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final FleetRouter self;
    private final WorkSource work;
    private final SuspectSource suspects;
    private final FleetView fleet;
    private final Listener listener;
    private final PeerBook peers;
    private final ReaderChoice readers;
    private final DocumentExchange documents;
    private @Nullable PeerLinks links;
    private @Nullable WorkTeller teller;
    private @Nullable SuspectTeller suspectTeller;

    PeerExchange(
            ControlThread thread,
            MonotonicClock clock,
            FleetRouter self,
            WorkSource work,
            SuspectSource suspects,
            FleetView fleet,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.work = work;
        this.suspects = suspects;
        this.fleet = fleet;
        this.listener = listener;
        this.peers = new PeerBook(self);
        this.readers = new ReaderChoice(clock, self, peers, fleet.directory(), fleet.storeClock());
        this.documents = new DocumentExchange(thread, clock, fleet, listener);
    }

    /** Starts to tell. */
    void start(PeerLinks peerLinks) {
        this.links = peerLinks;
        this.suspectTeller = new SuspectTeller(thread, clock, self, suspects, peers, peerLinks);
        this.teller = new WorkTeller(thread, clock, self, work, fleet, peers, peerLinks);
        thread.every(Duration.ofMillis(TICK_MILLIS), this::tick);
    }

    /** Tells whether it has been started: before that, other routers are not known. */
    boolean started() {
        return links != null;
    }

    /** Returns the first message on each connection. */
    PeerMessage introduction() {
        return new RoutingMessage.Introduction(PeerStates.entry(self));
    }

    /** Learns of routers from the store, the settings or a peer; new ones are introduced to each other. */
    void learn(Collection<FleetRouter> routers) {
        List<Peer> news = peers.learn(routers, clock.millis());
        if (news.isEmpty()) {
            return;
        }
        listener.routersChanged();
        teller().ifPresent(WorkTeller::routersChanged);
        news.stream().filter(peer -> !peer.router().located()).forEach(this::meet);
    }

    /** Learns of routers by their address alone; they are asked who they are. */
    void learnAddresses(List<Address> addresses) {
        learn(addresses.stream().map(FleetRouter::unlocated).toList());
    }

    /** Returns the number of routers, this one included. */
    int routers() {
        return peers.routers();
    }

    /** Returns all routers that are known, those included that are suspected to be gone. */
    FleetMembers members() {
        return FleetMembers.of(self.id(), peers.all().stream().map(Peer::id).toList());
    }

    /** Tells what this router has found out of requests that may end their endpoints. */
    void tellSuspects(SuspectReport news) {
        suspectTeller().ifPresent(known -> known.found(news));
    }

    /**
     * Returns how long this router lets others go first with what all have to do.
     *
     * @param event a number of the event
     */
    Duration turn(long event) {
        return FleetTurn.delay(peers.before(), peers.routers(), Rendezvous.hash(self.id()), event);
    }

    /** Tells at once that there is something newer. */
    void tellNow() {
        teller().ifPresent(WorkTeller::tellNow);
    }

    @Override
    public Mono<PeerMessage> handle(String from, PeerMessage message) {
        if (message instanceof RoutingMessage.RoutingState state) {
            work.peerTold(from, state.scope(), PeerStates.work(state), state.failing());
            return later(() -> told(from, state));
        }
        if (message instanceof RoutingMessage.Introduction introduction) {
            return later(() -> introduced(introduction.router()));
        }
        if (message instanceof RoutingMessage.RouterList list) {
            return later(() -> listed(from, list));
        }
        if (message instanceof RoutingMessage.SuspectRequests told) {
            return later(() -> suspectTeller().ifPresent(known -> known.told(from, told)));
        }
        if (message instanceof RoutingMessage.DocumentWanted wanted) {
            return thread.call(() -> documents.document(wanted));
        }
        return Mono.empty();
    }

    /**
     * A peer has ended, as far as its connections tell. What is open to it stays: were it closed too, a peer that lives would notice, close
     * its own, and two routers that stood still for a while closed and dialled each other's connections up to 300 times a second
     * ever after, a tenth of a core each.
     */
    @Override
    public void disconnected(String from) {
        LOG.info("the connection from router {} has ended", from, LogEvent.PEER_DISCONNECTED.field());
        thread.run(() ->
                peers.find(from).filter(peer -> peer.suspect(clock.millis())).ifPresent(PeerExchange::logLost));
    }

    @Override
    public void unreachable(String peer) {
        thread.run(() -> suspect(peer));
    }

    /** Returns what this router has to read from the store. */
    ReadingDuty duty() {
        return readers.duty(teller().map(WorkTeller::gathering).orElse(true));
    }

    /** Tries suspected routers soon: this router's own cut, if it was one, has ended. */
    void probeSoon() {
        peers.probeSoon(clock.millis());
    }

    private boolean gathersForOthers(long nowMillis) {
        return peers.all().stream().anyMatch(peer -> peer.member(nowMillis));
    }

    private PeerLinks links() {
        return Objects.requireNonNull(links, "not started");
    }

    /** Returns what tells others; none before the start, when the store may have answered already. */
    private Optional<WorkTeller> teller() {
        return Optional.ofNullable(teller);
    }

    private Optional<SuspectTeller> suspectTeller() {
        return Optional.ofNullable(suspectTeller);
    }

    private Mono<PeerMessage> later(Runnable task) {
        thread.run(task);
        return Mono.empty();
    }

    private void meet(Peer peer) {
        peer.asked(clock.millis());
        links().send(peer.vm(), new RoutingMessage.RouterList(List.of(PeerStates.entry(self))));
    }

    private void introduced(RoutingMessage.RouterEntry entry) {
        PeerStates.router(entry).ifPresent(router -> {
            learn(List.of(router));
            peers.find(router.id()).ifPresent(peer -> {
                heard(peer, peer.heard(clock.millis()));
                links().send(peer.vm(), new RoutingMessage.RouterList(PeerStates.entries(peers.known())));
                documents.met(links(), peer);
                suspectTeller().ifPresent(known -> known.met(peer));
            });
            tellNow();
        });
    }

    private void listed(String from, RoutingMessage.RouterList list) {
        learn(PeerStates.routers(list.routers()));
        peers.find(from).ifPresent(peer -> {
            heard(peer, peer.heard(clock.millis()));
            documents.met(links(), peer);
        });
    }

    private void told(String from, RoutingMessage.RoutingState state) {
        if (peers.find(from).isEmpty()) {
            learnAddresses(PeerStates.addresses(List.of(from)));
        }
        Optional<Peer> found = peers.find(from);
        if (found.isEmpty()) {
            return;
        }
        Peer peer = found.get();
        long nowMillis = clock.millis();
        if (state.storeEra() != StorePosition.NO_ERA) {
            listener.storeEraTold(state.storeEra(), "router " + peer.id());
        }
        heard(peer, peer.told(state, PeerStates.reading(state, fleet.era()), nowMillis));
        if (PeerStates.takeDrains(state.drains(), fleet.drains(), fleet.era(), nowMillis)) {
            listener.drainsChanged("router " + peer.id());
        }
        List<String> leaving = state.leaving().stream()
                .filter(fleet.directory()::statedLeaving)
                .toList();
        if (!leaving.isEmpty()) {
            listener.endpointsLeaving(leaving, "router " + peer.id());
        }
        if (documents.compare(links(), peer, state, duty().readsConfiguration())) {
            confirmed(nowMillis);
        }
    }

    /** A later reading of the same list: placements count its age from then on, and members are told. */
    private void confirmed(long nowMillis) {
        listener.endpointsChanged();
        if (gathersForOthers(nowMillis)) {
            tellNow();
        }
    }

    private void heard(Peer peer, boolean news) {
        if (news) {
            LOG.info("router {} answers again", peer.id(), LogEvent.PEER_BACK.field());
            suspectTeller().ifPresent(known -> known.met(peer));
            probeSoon();
        }
    }

    private void suspect(String id) {
        peers.find(id).filter(peer -> peer.suspect(clock.millis())).ifPresent(peer -> {
            links().drop(id);
            logLost(peer);
        });
    }

    private static void logLost(Peer peer) {
        LOG.info("router {} does not answer and is left out", peer.id(), LogEvent.PEER_LOST.field());
    }

    private void tick() {
        long nowMillis = clock.millis();
        peers.all().stream()
                .filter(peer -> peer.silent(nowMillis))
                .map(Peer::id)
                .toList()
                .forEach(this::suspect);
        List<FleetRouter> forgotten = peers.forget(nowMillis);
        if (!forgotten.isEmpty()) {
            listener.routersForgotten(forgotten);
        }
        teller().ifPresent(WorkTeller::tick);
    }

    /** Hears of what peers brought; called on the control thread. */
    interface Listener {
        /** A peer has told the store's era. */
        void storeEraTold(long era, String origin);

        /** A peer has a newer configuration, which is not here yet. */
        void newerConfigurationExists();

        /** A peer offers a configuration. */
        void configurationOffered(byte[] content, String origin);

        /** A peer has told which data centres are to get nothing new, or are to be used again. */
        void drainsChanged(String origin);

        /** A peer has told of endpoints that are leaving, as their answers stated. */
        void endpointsLeaving(List<String> endpointIds, String origin);

        /** A peer's list of endpoints has been taken over, or has confirmed this router's. */
        void endpointsChanged();

        /** There are more routers. */
        void routersChanged();

        /** These routers have not been seen for long. */
        void routersForgotten(List<FleetRouter> routers);
    }
}
