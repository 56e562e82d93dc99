package org.radishpass.routing.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
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
import org.radishpass.routing.load.WorkReportExchange;
import org.radishpass.routing.quarantine.SuspectExchange;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.stream.StreamOriginExchange;
import org.radishpass.routing.stream.StreamVersionRecord;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Handles messages from other routers: introductions, work in flight, and suspected requests. {@link DocumentExchange}
 * fetches the documents that a peer has in a newer version, and {@link WorkReporter} sends reports in turn. State is
 * confined to the control thread.
 */
final class PeerExchange implements PeerHandler {
    private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);

    /** Milliseconds between ticks, at which lost peers are detected and reports are sent. */
    private static final long TICK_MILLIS = 100;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final FleetRouter self;
    private final WorkReportExchange work;
    private final SuspectExchange suspects;
    private final StreamOriginExchange streams;
    private final ControlState controlState;
    private final Listener listener;
    private final PeerTable peers;
    private final ReaderElection readerElection;
    private final DocumentExchange documents;
    private @Nullable PeerLinks links;
    private @Nullable WorkReporter workReporter;
    private @Nullable SuspectReporter suspectReporter;
    private @Nullable StreamOriginReporter originReporter;
    private final StreamOriginJournal journal;

    PeerExchange(
            ControlThread thread,
            MonotonicClock clock,
            FleetRouter self,
            WorkReportExchange work,
            SuspectExchange suspects,
            StreamOriginExchange streams,
            StreamOriginJournal journal,
            ControlState controlState,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.work = work;
        this.suspects = suspects;
        this.streams = streams;
        this.journal = journal;
        this.controlState = controlState;
        this.listener = listener;
        this.peers = new PeerTable(self);
        this.readerElection =
                new ReaderElection(clock, self, peers, controlState.directory(), controlState.storeClock());
        this.documents = new DocumentExchange(thread, clock, controlState, listener);
    }

    /** Starts to report to the peers. */
    void start(PeerLinks peerLinks) {
        this.links = peerLinks;
        this.suspectReporter = new SuspectReporter(thread, clock, self, suspects, peers, peerLinks);
        StreamOriginReporter origins = new StreamOriginReporter(
                thread, clock, self, streams, peers, peerLinks, journal, listener::streamVersionsWanted);
        this.originReporter = origins;
        streams.peers(origins);
        this.workReporter = new WorkReporter(thread, clock, self, work, controlState, peers, peerLinks);
        thread.schedulePeriodically(Duration.ofMillis(TICK_MILLIS), this::tick);
    }

    /** Tells whether the exchange has been started. Before that, other routers are not known. */
    boolean started() {
        return links != null;
    }

    /** Returns the message that opens each connection to a peer. */
    PeerMessage introduction() {
        return new RoutingMessage.Introduction(RoutingMessageMapper.toEntry(self));
    }

    /**
     * Adds routers named by the store, the settings or a peer. Router lists with the new ones are sent with the next
     * tick, and a new router of which only the address is known is asked for its details.
     */
    void addRouters(Collection<FleetRouter> routers) {
        List<Peer> added = peers.addOrMention(routers, clock.millis());
        if (added.isEmpty()) {
            return;
        }
        listener.routersAdded();
        workReporter().ifPresent(WorkReporter::scheduleRouterLists);
        added.stream().filter(peer -> !peer.router().located()).forEach(this::introduceTo);
    }

    /** Adds routers of which only the address is known, and asks them for their details. */
    void learnAddresses(List<Address> addresses) {
        addRouters(addresses.stream().map(FleetRouter::unlocated).toList());
    }

    /** Returns the number of known routers, including this router. */
    int routerCount() {
        return peers.routerCount();
    }

    /** Returns all known routers, including those that are suspected to be down. */
    FleetMembers members() {
        return FleetMembers.of(self.id(), peers.all().stream().map(Peer::id).toList());
    }

    /** Tells the other routers the recorded software versions. */
    void tellStreamVersions() {
        if (started()) {
            peers.all().stream().filter(peer -> !peer.suspected()).forEach(this::sendStreamVersions);
        }
    }

    private void sendStreamVersions(Peer peer) {
        if (peer.router().recordsStreamVersions()) {
            RoutingMessageMapper.toStreamVersions(controlState.streamVersions())
                    .ifPresent(message -> links().send(peer.vm(), message));
        }
    }

    /** Tells whether all known routers begin streams at recorded versions only. Those not heard of yet do not count. */
    boolean allRecordStreamVersions() {
        return peers.all().stream()
                .filter(peer -> peer.router().located())
                .allMatch(peer -> peer.router().recordsStreamVersions());
    }

    /** Tells whether this router is one of those that store origins of streams. */
    boolean storesStreamOrigins() {
        return new OriginWriters(clock, self, peers).includesSelf();
    }

    /** Tells whether no router precedes this one by name. */
    boolean first() {
        return peers.precedingPeers() == 0;
    }

    /** Reports what this router has found out about requests that are suspected of crashing their endpoints. */
    void reportSuspects(SuspectReport report) {
        suspectReporter().ifPresent(reporter -> reporter.reportFound(report));
    }

    /**
     * Returns how long this router waits before an action that all routers perform after the same event.
     *
     * @param event a number that identifies the event
     */
    Duration staggeredDelay(long event) {
        return StaggeredDelay.delay(peers.precedingPeers(), peers.routerCount(), Rendezvous.hash(self.id()), event);
    }

    /** Reports to the peers at once, because this router has something newer. */
    void reportNow() {
        workReporter().ifPresent(WorkReporter::reportNow);
    }

    @Override
    public Mono<PeerMessage> handle(String from, PeerMessage message) {
        if (message instanceof RoutingMessage.RoutingState state) {
            work.recordPeerReport(
                    from,
                    state.scope(),
                    RoutingMessageMapper.toWork(state),
                    state.failing(),
                    ObservationMapper.toObservations(state, clock.millis()),
                    PartitionMapper.toPartitions(state, clock.millis()));
            return runOnControlThread(() -> onState(from, state));
        }
        if (message instanceof RoutingMessage.Introduction introduction) {
            return runOnControlThread(() -> onIntroduction(introduction.router()));
        }
        if (message instanceof RoutingMessage.RouterList list) {
            return runOnControlThread(() -> onRouterList(from, list));
        }
        if (message instanceof RoutingMessage.SuspectRequests suspectRequests) {
            return runOnControlThread(
                    () -> suspectReporter().ifPresent(reporter -> reporter.onMessage(from, suspectRequests)));
        }
        if (message instanceof RoutingMessage.StreamVersions versions) {
            return runOnControlThread(() -> listener.streamVersionsReceived(
                    RoutingMessageMapper.toStreamVersionRecord(versions),
                    new StorePosition(versions.era(), versions.revision())));
        }
        if (message instanceof RoutingMessage.StreamOrigins origins) {
            return runOnControlThread(() -> originReporter().ifPresent(reporter -> reporter.onOrigins(origins)));
        }
        if (message instanceof RoutingMessage.StreamOriginWanted wanted) {
            return Mono.justOrEmpty(originReporter()).flatMap(reporter -> reporter.answer(wanted));
        }
        if (message instanceof RoutingMessage.DocumentWanted wanted) {
            return thread.call(() -> documents.serve(wanted));
        }
        return Mono.empty();
    }

    /**
     * Marks a peer as suspected because a connection from it has ended. This router's own connection to the peer stays
     * open. If it were closed too, a live peer would notice and close its own. Two routers that had been frozen for a
     * while then closed and redialled each other's connections without end, up to 300 times a second, for a tenth of a
     * core each.
     */
    @Override
    public void disconnected(String from) {
        LOG.info(
                "a connection from router {} has ended; the router counts as down until it sends a message",
                from,
                LogEvent.PEER_DISCONNECTED.field());
        thread.run(() -> peers.find(from)
                .filter(peer -> peer.markSuspected(clock.millis()))
                .ifPresent(PeerExchange::logLost));
    }

    @Override
    public void unreachable(String peer) {
        thread.run(() -> markUnreachable(peer));
    }

    /** Returns what this router has to read from the store. */
    StoreReadScope storeReadScope() {
        return readerElection.storeReadScope(
                workReporter().map(WorkReporter::gathering).orElse(true));
    }

    /**
     * Brings forward the probes of suspected peers, because this router itself may have been the one that was cut off.
     */
    void probeSoon() {
        peers.probeSoon(clock.millis());
    }

    private boolean hasMembers(long nowMillis) {
        return peers.all().stream().anyMatch(peer -> peer.isMember(nowMillis));
    }

    private PeerLinks links() {
        return Objects.requireNonNull(links, "not started");
    }

    /** Returns the work reporter, or nothing before the start. The store may answer before that. */
    private Optional<WorkReporter> workReporter() {
        return Optional.ofNullable(workReporter);
    }

    private Optional<SuspectReporter> suspectReporter() {
        return Optional.ofNullable(suspectReporter);
    }

    private Optional<StreamOriginReporter> originReporter() {
        return Optional.ofNullable(originReporter);
    }

    private Mono<PeerMessage> runOnControlThread(Runnable task) {
        thread.run(task);
        return Mono.empty();
    }

    private void introduceTo(Peer peer) {
        peer.expectReply(clock.millis());
        links().send(peer.vm(), new RoutingMessage.RouterList(List.of(RoutingMessageMapper.toEntry(self))));
    }

    private void onIntroduction(RoutingMessage.RouterEntry entry) {
        RoutingMessageMapper.toRouter(entry).ifPresent(router -> {
            addRouters(List.of(router));
            peers.find(router.id()).ifPresent(peer -> {
                onContact(peer, peer.recordContact(clock.millis()));
                links().send(
                                peer.vm(),
                                new RoutingMessage.RouterList(
                                        RoutingMessageMapper.toEntries(peers.unsuspectedRouters())));
                documents.fetchMissing(links(), peer);
                suspectReporter().ifPresent(reporter -> reporter.sendAllTo(peer));
                sendStreamVersions(peer);
            });
            reportNow();
        });
    }

    private void onRouterList(String from, RoutingMessage.RouterList list) {
        addRouters(RoutingMessageMapper.toRouters(list.routers()));
        peers.find(from).ifPresent(peer -> {
            onContact(peer, peer.recordContact(clock.millis()));
            documents.fetchMissing(links(), peer);
        });
    }

    private void onState(String from, RoutingMessage.RoutingState state) {
        if (peers.find(from).isEmpty()) {
            learnAddresses(RoutingMessageMapper.parseAddresses(List.of(from)));
        }
        Optional<Peer> found = peers.find(from);
        if (found.isEmpty()) {
            return;
        }
        Peer peer = found.get();
        long nowMillis = clock.millis();
        if (state.storeEra() != StorePosition.NO_ERA) {
            listener.storeEraReceived(state.storeEra(), "router " + peer.id());
        }
        onContact(
                peer,
                peer.recordState(state, RoutingMessageMapper.toListVersion(state, controlState.era()), nowMillis));
        if (RoutingMessageMapper.applyDrains(state.drains(), controlState.drains(), controlState.era(), nowMillis)) {
            listener.drainsChanged("router " + peer.id());
        }
        List<String> leaving = state.leaving().stream()
                .filter(controlState.directory()::statedLeaving)
                .toList();
        if (!leaving.isEmpty()) {
            listener.endpointsLeaving(leaving, "router " + peer.id());
        }
        if (documents.fetchNewer(links(), peer, state, storeReadScope().readsConfiguration())) {
            onListConfirmed(nowMillis);
        }
    }

    /**
     * Publishes that the endpoint list was confirmed by a later read. Placements use the list's new age, and members
     * of this router's group are notified.
     */
    private void onListConfirmed(long nowMillis) {
        listener.endpointsChanged();
        if (hasMembers(nowMillis)) {
            reportNow();
        }
    }

    private void onContact(Peer peer, boolean wasSuspected) {
        if (wasSuspected) {
            LOG.info(
                    "router {} sends messages again and is no longer suspected to be down",
                    peer.id(),
                    LogEvent.PEER_BACK.field());
            suspectReporter().ifPresent(reporter -> reporter.sendAllTo(peer));
            sendStreamVersions(peer);
            probeSoon();
        }
    }

    private void markUnreachable(String id) {
        peers.find(id).filter(peer -> peer.markSuspected(clock.millis())).ifPresent(peer -> {
            links().closeLink(id);
            logLost(peer);
        });
    }

    private static void logLost(Peer peer) {
        LOG.info(
                "router {} does not answer; it is suspected to be down and probed until it sends a message",
                peer.id(),
                LogEvent.PEER_LOST.field());
    }

    private void tick() {
        long nowMillis = clock.millis();
        peers.all().stream()
                .filter(peer -> peer.replyOverdue(nowMillis))
                .map(Peer::id)
                .toList()
                .forEach(this::markUnreachable);
        List<FleetRouter> expired = peers.removeExpired(nowMillis);
        if (!expired.isEmpty()) {
            listener.routersExpired(expired);
        }
        workReporter().ifPresent(WorkReporter::tick);
        peers.reportChange(work::routersChanged);
    }

    /** Receives what peers report. Called on the control thread. */
    interface Listener {
        /** Called when a peer reports the era of the store. */
        void storeEraReceived(long era, String origin);

        /** Called when a peer has a newer configuration that has not been fetched yet. */
        void newerConfigurationExists();

        /** Called when a configuration has been fetched from a peer. */
        void configurationReceived(byte[] content, String origin);

        /** Called when a peer reports that data centres have been drained or are in use again. */
        void drainsChanged(String origin);

        /** Called when a peer reports endpoints that stated in their responses that they are leaving. */
        void endpointsLeaving(List<String> endpointIds, String origin);

        /** Called when the endpoint list has been replaced by that of a peer, or confirmed by a peer. */
        void endpointsChanged();

        /** Called when a stream is taken up for which the recorded versions have to be read again. */
        void streamVersionsWanted(Consumer<Boolean> done);

        /** Called when a peer tells the recorded versions. */
        void streamVersionsReceived(StreamVersionRecord record, StorePosition writtenAt);

        /** Called when routers have been added. */
        void routersAdded();

        /** Called when routers have been removed because they had not been seen for a long time. */
        void routersExpired(List<FleetRouter> routers);
    }
}
