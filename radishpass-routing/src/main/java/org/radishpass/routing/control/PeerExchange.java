package org.radishpass.routing.control;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerHandler;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.routing.traffic.TrafficServer;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * What routers tell each other: work in flight several times a second, and configuration and endpoints to those that have
 * older ones. State belongs to the control thread.
 */
final class PeerExchange implements PeerHandler {
    private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);
    private static final String CONFIGURATION = "configuration";
    private static final String ENDPOINTS = "endpoints";

    /** Milliseconds between messages while work in flight changes; at 100, a seventh of a router's processor time. */
    private static final long TELL_MILLIS = 200;

    /** Ticks without a change until a message is sent all the same: 0.6 s. */
    private static final int QUIET_TICKS = 3;

    /** Milliseconds without word from a peer until its link is dialled anew. */
    private static final long SILENT_MILLIS = 2_000;

    /** Milliseconds without word from a peer until it is forgotten. */
    private static final long FORGET_MILLIS = 60_000;

    /** How long a document may take; within a region it takes under 50 ms. */
    private static final Duration DOCUMENT_PATIENCE = Duration.ofMillis(800);

    /**
     * Milliseconds after which a reading of the endpoints is too old to rely on: an endpoint that leaves must get nothing
     * new after two seconds.
     */
    private static final long STALE_LIST_MILLIS = 1_300;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final Address self;
    private final TrafficServer traffic;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory;
    private final Listener listener;
    private final Map<String, Peer> peers = new HashMap<>();
    private final java.util.Set<String> fetching = new java.util.HashSet<>();
    private @Nullable PeerNode node;
    private int quietTicks;

    PeerExchange(
            ControlThread thread,
            MonotonicClock clock,
            Address self,
            TrafficServer traffic,
            ConfigurationTracker configuration,
            DirectoryTracker directory,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.traffic = traffic;
        this.configuration = configuration;
        this.directory = directory;
        this.listener = listener;
    }

    /** Starts to tell. */
    void start(PeerNode peerNode) {
        this.node = peerNode;
        thread.every(Duration.ofMillis(TELL_MILLIS), this::tell);
    }

    /** Learns of routers from the store, the settings or a peer. */
    void learn(List<Address> routers) {
        for (Address address : routers) {
            if (!address.equals(self) && !peers.containsKey(address.toString())) {
                LOG.info("router {} is known from now on", address, LogEvent.PEER_KNOWN.field());
                Peer peer = new Peer(address, clock.millis());
                peers.put(address.toString(), peer);
                listener.routersChanged();
            }
        }
    }

    /** Returns the number of routers, this one included. */
    int routers() {
        return peers.size() + 1;
    }

    /** Tells all peers at once that there is a newer configuration. */
    void tellNow() {
        quietTicks = QUIET_TICKS;
        tell();
    }

    @Override
    public Mono<PeerMessage> handle(String from, PeerMessage message) {
        if (message instanceof PeerMessage.RoutingState state) {
            traffic.peerTold(from, PeerStates.work(state), state.failing());
            return later(() -> told(from, state));
        }
        if (message instanceof PeerMessage.Hello hello) {
            return later(() -> greeted(hello.vmId()));
        }
        if (message instanceof PeerMessage.RouterList list) {
            return later(() -> learn(PeerStates.addresses(list.addresses())));
        }
        if (message instanceof PeerMessage.DocumentWanted wanted) {
            return thread.call(() -> document(wanted.name()));
        }
        return Mono.empty();
    }

    @Override
    public void disconnected(String from) {
        LOG.info("the connection from router {} has ended", from, LogEvent.PEER_DISCONNECTED.field());
    }

    private PeerNode node() {
        return Objects.requireNonNull(node, "not started");
    }

    private Mono<PeerMessage> later(Runnable task) {
        thread.run(task);
        return Mono.empty();
    }

    private void greeted(String peerId) {
        learn(PeerStates.addresses(List.of(peerId)));
        Peer peer = peers.get(peerId);
        if (peer != null) {
            peer.heardAtMillis = clock.millis();
            List<String> known = new ArrayList<>(peers.keySet());
            node().send(peer.vm, new PeerMessage.RouterList(known));
            tellNow();
        }
    }

    private void told(String from, PeerMessage.RoutingState state) {
        Peer peer = peers.get(from);
        if (peer == null) {
            learn(PeerStates.addresses(List.of(from)));
            peer = peers.get(from);
        }
        if (peer == null) {
            return;
        }
        peer.heardAtMillis = clock.millis();
        if (state.configuration() > configuration.version()) {
            fetch(peer, CONFIGURATION);
        }
        peer.readAtMillis = clock.millis() - state.directoryAgeMillis();
        if (state.directory() < directory.revision()) {
            return;
        }
        if (directory.known() && state.directoryHash() == directory.hash()) {
            directory.confirmed(state.directory(), peer.readAtMillis);
        } else if (state.directory() > directory.revision() && state.directoryAgeMillis() < STALE_LIST_MILLIS) {
            fetch(peer, ENDPOINTS);
        }
    }

    /**
     * Tells whether another router reads the list of endpoints for all. Of those that were heard of lately and have read
     * it lately the first by name does; while it is in doubt, several may.
     */
    boolean anotherReads() {
        long nowMillis = clock.millis();
        if (nowMillis - directory.readAtMillis() > STALE_LIST_MILLIS) {
            return false;
        }
        for (Peer peer : peers.values()) {
            boolean present = nowMillis - peer.heardAtMillis < STALE_LIST_MILLIS;
            boolean reading = nowMillis - peer.readAtMillis < STALE_LIST_MILLIS;
            if (present && reading && peer.vm.id().compareTo(self.toString()) < 0) {
                return true;
            }
        }
        return false;
    }

    private void fetch(Peer peer, String name) {
        if (!fetching.add(name)) {
            return;
        }
        node().request(peer.vm, new PeerMessage.DocumentWanted(name), DOCUMENT_PATIENCE)
                .publishOn(thread.scheduler())
                .doFinally(signal -> thread.run(() -> fetching.remove(name)))
                .subscribe(
                        answer -> received(peer, answer),
                        error -> LOG.info("router {} did not give its {}: {}", peer.vm.id(), name, error.toString()));
    }

    private void received(Peer peer, PeerMessage answer) {
        if (!(answer instanceof PeerMessage.Document document) || document.version() < 0) {
            return;
        }
        if (document.name().equals(CONFIGURATION)) {
            listener.configurationOffered(document.content(), "router " + peer.vm.id());
            return;
        }
        try {
            if (directory.peerListed(
                    document.version(), EndpointListCodec.decode(document.content()), peer.readAtMillis)) {
                LOG.info(
                        "the endpoints are taken from router {}, as of revision {}",
                        peer.vm.id(),
                        document.version(),
                        LogEvent.ENDPOINTS.field());
                listener.endpointsChanged();
            }
        } catch (IOException e) {
            LOG.error("router {} gave an endpoint list that cannot be read", peer.vm.id(), e);
        }
    }

    private PeerMessage document(String name) throws IOException {
        if (name.equals(CONFIGURATION)) {
            return new PeerMessage.Document(name, configuration.version(), configuration.content());
        }
        return new PeerMessage.Document(name, directory.revision(), EndpointListCodec.encode(directory.endpoints()));
    }

    private void tell() {
        boolean always = ++quietTicks >= QUIET_TICKS;
        traffic.ownWork(always, (work, failing) -> thread.run(() -> tellAll(work, failing)));
    }

    private void tellAll(Map<String, InFlight> work, List<String> failing) {
        quietTicks = 0;
        List<PeerMessage.EndpointWork> entries = new ArrayList<>(work.size());
        work.forEach((id, amount) -> entries.add(new PeerMessage.EndpointWork(id, amount.requests(), amount.tokens())));
        long nowMillis = clock.millis();
        PeerMessage state = new PeerMessage.RoutingState(
                configuration.version(),
                directory.revision(),
                PeerStates.entries(work),
                directory.hash(),
                nowMillis - directory.readAtMillis(),
                failing);
        boolean forgotten = peers.values().removeIf(peer -> nowMillis - peer.heardAtMillis > FORGET_MILLIS);
        for (Peer peer : peers.values()) {
            if (nowMillis - peer.heardAtMillis <= SILENT_MILLIS) {
                node().send(peer.vm, state);
            } else if (nowMillis >= peer.redialAtMillis) {
                peer.redialAtMillis = nowMillis + SILENT_MILLIS;
                node().drop(peer.vm.id());
                node().send(peer.vm, state);
            }
        }
        if (forgotten) {
            listener.routersChanged();
        }
    }

    /** Hears of what peers brought; called on the control thread. */
    interface Listener {
        /** A peer offers a configuration. */
        void configurationOffered(byte[] content, String origin);

        /** A peer's list of endpoints has been taken over. */
        void endpointsChanged();

        /** There are more or fewer routers. */
        void routersChanged();
    }

    /** What is known of one peer. */
    private static final class Peer {
        private final Vm vm;
        private long heardAtMillis;
        private long redialAtMillis;
        private long readAtMillis = Long.MIN_VALUE / 2;

        private Peer(Address address, long nowMillis) {
            this.vm = new Vm(address.toString(), new DataCentre("peer"), address, false);
            this.heardAtMillis = nowMillis;
        }
    }
}
