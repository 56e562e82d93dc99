package org.radishpass.routing.control;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches the configuration and the endpoint list from peers that have newer ones, and gives them to peers. The second way
 * to both, beside the store. State belongs to the control thread.
 */
final class DocumentExchange {
    private static final Logger LOG = LoggerFactory.getLogger(DocumentExchange.class);
    private static final String CONFIGURATION = "configuration";
    private static final String ENDPOINTS = "endpoints";

    /** How long a document may take; within a region it takes under 50 ms, a large one on a small link 500 ms. */
    private static final Duration PATIENCE = Duration.ofMillis(800);

    /**
     * How long the store is waited for before a peer is asked for a configuration: the store answers all routers at once, and
     * a peer that has to give it to a whole group is slow to do so. A configuration is to be in force within 2 s.
     */
    private static final Duration STORE_FIRST = Duration.ofMillis(350);

    /** Milliseconds by which a reading must be later to count as another one: a third of the pace of readings. */
    private static final long LATER_MILLIS = 300;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory;
    private final PeerExchange.Listener listener;
    private final Set<String> fetching = new HashSet<>();

    DocumentExchange(
            ControlThread thread,
            MonotonicClock clock,
            ConfigurationTracker configuration,
            DirectoryTracker directory,
            PeerExchange.Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.configuration = configuration;
        this.directory = directory;
        this.listener = listener;
    }

    /**
     * Compares what a peer has with what this router has, and fetches what is newer there.
     *
     * @param node sends to peers
     * @param peer the peer
     * @param state what it told
     * @param storeTells whether the store tells this router of newer configurations
     * @return whether this router's list is confirmed as of a later reading
     */
    boolean compare(PeerNode node, Peer peer, RoutingMessage.RoutingState state, boolean storeTells) {
        if (state.configuration() > configuration.version()) {
            Duration wait = storeTells && configuration.version() >= 0 ? STORE_FIRST : Duration.ZERO;
            fetch(node, peer, CONFIGURATION, wait, () -> state.configuration() > configuration.version());
        }
        if (state.directory() < directory.revision()) {
            return false;
        }
        long readAtMillis = clock.millis() - state.directoryAgeMillis();
        if (directory.known() && state.directoryHash() == directory.hash()) {
            boolean later = readAtMillis - directory.readAtMillis() > LATER_MILLIS;
            directory.confirmed(state.directory(), readAtMillis, peer.id());
            return later;
        }
        if (state.directory() > directory.revision() && state.directoryAgeMillis() < PeerExchange.STALE_LIST_MILLIS) {
            fetch(node, peer, ENDPOINTS, Duration.ZERO, () -> state.directory() > directory.revision());
        }
        return false;
    }

    /** Gives a document to a peer. */
    RoutingMessage.Document document(String name) throws IOException {
        if (name.equals(CONFIGURATION)) {
            return new RoutingMessage.Document(name, configuration.version(), configuration.content());
        }
        return new RoutingMessage.Document(name, directory.revision(), EndpointListCodec.encode(directory.endpoints()));
    }

    private void fetch(PeerNode node, Peer peer, String name, Duration wait, BooleanSupplier wanted) {
        if (!fetching.add(name)) {
            return;
        }
        thread.after(wait, () -> {
            if (wanted.getAsBoolean()) {
                request(node, peer, name);
            } else {
                fetching.remove(name);
            }
        });
    }

    private void request(PeerNode node, Peer peer, String name) {
        node.request(peer.vm(), new RoutingMessage.DocumentWanted(name), PATIENCE)
                .publishOn(thread.scheduler())
                .doFinally(signal -> thread.run(() -> fetching.remove(name)))
                .subscribe(
                        answer -> received(peer, answer),
                        error -> LOG.info("router {} did not give its {}: {}", peer.id(), name, error.toString()));
    }

    private void received(Peer peer, PeerMessage answer) {
        if (!(answer instanceof RoutingMessage.Document document) || document.version() < 0) {
            return;
        }
        if (document.name().equals(CONFIGURATION)) {
            listener.configurationOffered(document.content(), "router " + peer.id());
            return;
        }
        try {
            if (directory.peerListed(
                    document.version(),
                    EndpointListCodec.decode(document.content()),
                    peer.listReadAtMillis(),
                    peer.id())) {
                LOG.info(
                        "the endpoints are taken from router {}, as of revision {}",
                        peer.id(),
                        document.version(),
                        LogEvent.ENDPOINTS.field());
                listener.endpointsChanged();
            }
        } catch (IOException e) {
            LOG.error("router {} gave an endpoint list that cannot be read", peer.id(), e);
        }
    }
}
