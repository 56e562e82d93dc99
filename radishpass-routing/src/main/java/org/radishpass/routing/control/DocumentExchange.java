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
 * Fetches the configuration and the endpoint list from peers that have newer ones, and gives them to peers. The second way
 * to both, beside the store. State belongs to the control thread.
 */
final class DocumentExchange {
    private static final Logger LOG = LoggerFactory.getLogger(DocumentExchange.class);
    private static final String CONFIGURATION = "configuration";
    private static final String ENDPOINTS = "endpoints";

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
    private final StoreClock storeClock;
    private final StoreEra era;
    private final PeerExchange.Listener listener;
    private final FetchBook fetches = new FetchBook();
    private final DocumentPacker packer = new DocumentPacker();

    DocumentExchange(ControlThread thread, MonotonicClock clock, FleetView fleet, PeerExchange.Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.configuration = fleet.configuration();
        this.directory = fleet.directory();
        this.storeClock = fleet.storeClock();
        this.era = fleet.era();
        this.listener = listener;
    }

    /**
     * Compares what a peer has with what this router has, and fetches what is newer there.
     *
     * @param links sends to peers
     * @param peer the peer
     * @param state what it told
     * @param storeTells whether the store tells this router of newer configurations
     * @return whether this router's list is confirmed as of a later reading
     */
    boolean compare(PeerLinks links, Peer peer, RoutingMessage.RoutingState state, boolean storeTells) {
        if (configuration.heardOf(state.configuration(), clock.millis())) {
            listener.newerConfigurationExists();
        }
        if (state.configuration() > configuration.version()) {
            Duration wait = storeTells && configuration.version() >= 0 ? STORE_FIRST : Duration.ZERO;
            fetch(links, peer, CONFIGURATION, wait, () -> state.configuration() > configuration.version());
        }
        ListReading reading = peer.listReading();
        if (directory.known() && !reading.supersedes(directory.reading())) {
            return false;
        }
        long nowMillis = clock.millis();
        if (directory.known() && state.directoryHash() == directory.hash()) {
            long readAtMillis = storeClock.earliest(reading.storeMillis(), nowMillis);
            boolean later = readAtMillis - directory.readAtMillis() > LATER_MILLIS;
            directory.confirmed(reading, readAtMillis, peer.id());
            return later;
        }
        if (reading.position().known()) {
            fetch(links, peer, ENDPOINTS, Duration.ZERO, () -> reading.supersedes(directory.reading()));
        }
        return false;
    }

    /**
     * Asks a peer that has made itself known for what this router lacks altogether. After a start it would hear only later what the
     * peer has.
     */
    void met(PeerLinks links, Peer peer) {
        if (configuration.version() < 0) {
            fetch(links, peer, CONFIGURATION, Duration.ZERO, () -> configuration.version() < 0);
        }
    }

    /** Gives a document to a peer. */
    RoutingMessage.Document document(RoutingMessage.DocumentWanted wanted) throws IOException {
        if (wanted.name().equals(CONFIGURATION)) {
            return RoutingMessage.Document.of(wanted.name(), configuration.version(), configurationFor(wanted));
        }
        byte[] list = EndpointListCodec.encode(directory.snapshot());
        DocumentPacking packing = wanted.unpacks() ? DocumentPacking.COMPRESSED : DocumentPacking.PLAIN;
        return RoutingMessage.Document.of(
                wanted.name(),
                directory.reading().position().revision(),
                new PackedDocument(packing, packing.pack(list, list), "", ""));
    }

    private PackedDocument configurationFor(RoutingMessage.DocumentWanted wanted) {
        DocumentHistory versions = configuration.documents();
        return wanted.unpacks()
                ? packer.pack(versions, wanted.baseHash())
                : new PackedDocument(
                        DocumentPacking.PLAIN,
                        versions.newest().bytes(),
                        versions.newest().hash(),
                        "");
    }

    private void fetch(PeerLinks links, Peer peer, String name, Duration wait, BooleanSupplier wanted) {
        if (!fetches.begin(name, peer.id(), clock.millis() + wait.toMillis())) {
            return;
        }
        thread.after(wait, () -> {
            if (wanted.getAsBoolean()) {
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
                        answer -> received(peer, base, answer),
                        error -> LOG.info("router {} did not give its {}: {}", peer.id(), name, error.toString()));
    }

    private void received(Peer peer, SharedDocument base, PeerMessage answer) {
        if (!(answer instanceof RoutingMessage.Document document) || document.version() < 0) {
            return;
        }
        try {
            byte[] content = document.packed().unpack(base).bytes();
            if (document.name().equals(CONFIGURATION)) {
                listener.configurationOffered(content, "router " + peer.id());
            } else {
                take(peer, EndpointListCodec.decode(content).resolved(era));
            }
        } catch (IOException e) {
            LOG.error("router {} gave a document named {} that cannot be read", peer.id(), document.name(), e);
        }
    }

    private void take(Peer peer, EndpointSnapshot list) {
        long readAtMillis = storeClock.earliest(list.reading().storeMillis(), clock.millis());
        if (directory.peerListed(list, readAtMillis, peer.id())) {
            LOG.info(
                    "the endpoints are taken from router {}, as of {}",
                    peer.id(),
                    list.reading().position(),
                    LogEvent.ENDPOINTS.field());
            listener.endpointsChanged();
        }
    }
}
