package org.radishpass.routing.control;

import java.io.IOException;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.radishpass.peer.document.DocumentHistory;
import org.radishpass.peer.document.DocumentPacker;
import org.radishpass.peer.document.DocumentPacking;
import org.radishpass.peer.document.PackedDocument;
import org.radishpass.peer.document.SharedDocument;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches the configuration and the endpoint list from peers that have newer versions, and serves both to peers. This
 * is the second source of both documents, next to the store. State is confined to the control thread.
 */
final class DocumentExchange {
    private static final Logger LOG = LoggerFactory.getLogger(DocumentExchange.class);
    private static final String CONFIGURATION = "configuration";
    private static final String ENDPOINTS = "endpoints";

    /**
     * How long a router waits for the store before it asks a peer for a configuration. The store responds to all routers at
     * once, while a peer that serves a whole group is slow. A configuration must be in force within 2 s.
     */
    private static final Duration STORE_HEAD_START = Duration.ofMillis(350);

    /**
     * Minimum milliseconds by which a read of the store must be later to count as a new read: a third of the
     * interval between reads.
     */
    private static final long MIN_READ_GAP_MILLIS = 300;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory;
    private final StoreClock storeClock;
    private final StoreEra era;
    private final PeerExchange.Listener listener;
    private final PendingFetches fetches = new PendingFetches();
    private final DocumentPacker packer = new DocumentPacker();

    DocumentExchange(ControlThread thread, MonotonicClock clock, ControlState state, PeerExchange.Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.configuration = state.configuration();
        this.directory = state.directory();
        this.storeClock = state.storeClock();
        this.era = state.era();
        this.listener = listener;
    }

    /**
     * Compares the state of a peer with the state of this router, and fetches the documents that are newer at the peer.
     *
     * @param links sends messages to peers
     * @param peer the peer
     * @param state the state that the peer reported
     * @param readsConfiguration whether this router learns of newer configurations from the store
     * @return whether the peer confirmed this router's endpoint list with a later read of the store
     */
    boolean fetchNewer(PeerLinks links, Peer peer, RoutingMessage.RoutingState state, boolean readsConfiguration) {
        if (configuration.noteAnnouncedVersion(state.configurationVersion(), clock.millis())) {
            listener.newerConfigurationExists();
        }
        if (state.configurationVersion() > configuration.version()) {
            Duration wait = readsConfiguration && configuration.version() >= 0 ? STORE_HEAD_START : Duration.ZERO;
            fetch(links, peer, CONFIGURATION, wait, () -> state.configurationVersion() > configuration.version());
        }
        EndpointListVersion peerVersion = peer.listVersion();
        if (directory.known() && !peerVersion.supersedes(directory.listVersion())) {
            return false;
        }
        long nowMillis = clock.millis();
        if (directory.known() && state.directoryHash() == directory.hash()) {
            long readAtMillis = storeClock.earliestLocalMillis(peerVersion.storeMillis(), nowMillis);
            boolean laterRead = readAtMillis - directory.readAtMillis() > MIN_READ_GAP_MILLIS;
            directory.confirmedByPeer(peerVersion, readAtMillis, peer.id());
            return laterRead;
        }
        if (peerVersion.position().known()) {
            fetch(links, peer, ENDPOINTS, Duration.ZERO, () -> peerVersion.supersedes(directory.listVersion()));
        }
        return false;
    }

    /**
     * Fetches the configuration from a newly introduced peer if this router has none yet. Otherwise a router that
     * starts would have to wait for the peer's next state message.
     */
    void fetchMissing(PeerLinks links, Peer peer) {
        if (configuration.version() < 0) {
            fetch(links, peer, CONFIGURATION, Duration.ZERO, () -> configuration.version() < 0);
        }
    }

    /** Returns the document that a peer asked for. */
    RoutingMessage.Document serve(RoutingMessage.DocumentWanted wanted) throws IOException {
        if (wanted.name().equals(CONFIGURATION)) {
            return RoutingMessage.Document.of(wanted.name(), configuration.version(), configurationFor(wanted));
        }
        byte[] list = EndpointListCodec.encode(directory.snapshot());
        DocumentPacking packing = wanted.acceptsPacked() ? DocumentPacking.COMPRESSED : DocumentPacking.PLAIN;
        return RoutingMessage.Document.of(
                wanted.name(),
                directory.listVersion().position().revision(),
                new PackedDocument(packing, packing.pack(list, list), "", ""));
    }

    private PackedDocument configurationFor(RoutingMessage.DocumentWanted wanted) {
        DocumentHistory versions = configuration.documents();
        return wanted.acceptsPacked()
                ? packer.pack(versions, wanted.baseHash())
                : new PackedDocument(
                        DocumentPacking.PLAIN,
                        versions.newest().bytes(),
                        versions.newest().hash(),
                        "");
    }

    private void fetch(PeerLinks links, Peer peer, String name, Duration wait, BooleanSupplier stillNeeded) {
        if (!fetches.tryBegin(name, peer.id(), clock.millis() + wait.toMillis())) {
            return;
        }
        thread.scheduleAfter(wait, () -> {
            if (stillNeeded.getAsBoolean()) {
                request(links, peer, name);
            } else {
                fetches.end(name, peer.id());
            }
        });
    }

    private void request(PeerLinks links, Peer peer, String name) {
        SharedDocument base =
                name.equals(CONFIGURATION) ? configuration.documents().newest() : SharedDocument.NONE;
        links.fetch(peer.vm(), new RoutingMessage.DocumentWanted(name, true, base.hash()))
                .publishOn(thread.scheduler())
                .doFinally(signal -> thread.run(() -> fetches.end(name, peer.id())))
                .subscribe(
                        response -> received(peer, base, response),
                        error -> LOG.info(
                                "router {} did not send the document {}: {}", peer.id(), name, error.toString()));
    }

    private void received(Peer peer, SharedDocument base, PeerMessage response) {
        if (!(response instanceof RoutingMessage.Document document) || document.version() < 0) {
            return;
        }
        try {
            byte[] content = document.packed().unpack(base).bytes();
            if (document.name().equals(CONFIGURATION)) {
                listener.configurationReceived(content, "router " + peer.id());
            } else {
                adoptList(peer, EndpointListCodec.decode(content).withResolvedEra(era));
            }
        } catch (IOException | Error e) {
            // Reactor rethrows some errors, and then the fetch would never end and this peer would not be asked again
            LOG.error(
                    "router {} sent a document named {} that cannot be decoded; it is ignored",
                    peer.id(),
                    document.name(),
                    e);
        }
    }

    private void adoptList(Peer peer, EndpointSnapshot list) {
        long readAtMillis = storeClock.earliestLocalMillis(list.version().storeMillis(), clock.millis());
        if (directory.applyPeerList(list, readAtMillis, peer.id())) {
            LOG.info(
                    "the endpoint list is replaced by that of router {}, as read from the store at {}",
                    peer.id(),
                    list.version().position(),
                    LogEvent.ENDPOINTS.field());
            listener.endpointsChanged();
        }
    }
}
