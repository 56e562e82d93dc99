package org.radishpass.routing.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.Incarnation;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;

/**
 * Simulates the endpoint lists of several routers, with a store, messages and a clock that the test controls, without a
 * network and without threads. Messages are delivered when the test says so, however long after they were written.
 */
final class DirectoryFleet {
    private static final String SERVICE = "orders";
    private static final long STORE_CLOCK_OFFSET_MILLIS = 7_000_000;

    private final Map<String, ServiceEndpoint> registered = new LinkedHashMap<>();
    private final List<UnusableEntry> corrupted = new ArrayList<>();
    private long nowMillis = 100_000;
    private long era = 1;
    private long revision = 1;

    /** Advances the clock. */
    void advance(long millis) {
        nowMillis += millis;
    }

    /** Registers an endpoint without a start time. */
    void register(String id) {
        register(endpoint(id));
    }

    /** Registers an incarnation of an endpoint, with its start time. */
    void registerIncarnation(String name, long startedAtMillis) {
        register(endpoint(name).withIncarnation(new Incarnation(startedAtMillis)));
    }

    void register(ServiceEndpoint endpoint) {
        revision++;
        registered.put(endpoint.name(), endpoint);
    }

    /** Tells whether an endpoint is registered. */
    boolean registered(String name) {
        return registered.containsKey(name);
    }

    /** Marks an endpoint's registration as leaving. */
    void markLeaving(String name) {
        revision++;
        registered.computeIfPresent(name, (key, endpoint) -> endpoint.asLeaving());
    }

    /** Returns the store's rows and revision, to be restored later. */
    Snapshot snapshot() {
        return new Snapshot(revision, new LinkedHashMap<>(registered), List.copyOf(corrupted));
    }

    /** Restores the store from a snapshot and starts a new era, so that revisions are assigned again. */
    void restore(Snapshot from) {
        era++;
        revision = from.revision();
        registered.clear();
        registered.putAll(from.registered());
        corrupted.clear();
        corrupted.addAll(from.corrupted());
    }

    /** The content of the store at some moment. */
    record Snapshot(long revision, Map<String, ServiceEndpoint> registered, List<UnusableEntry> corrupted) {}

    /** Replaces an endpoint's registration by an entry that cannot be decoded. */
    void corrupt(String name) {
        revision++;
        if (registered.remove(name) != null) {
            corrupted.add(new UnusableEntry(name, EntryFault.SYNTAX, "corrupted"));
        }
    }

    static ServiceEndpoint endpoint(String name) {
        return new ServiceEndpoint(name, SERVICE, new Address("10.0.0.1", 80), new DataCentre("here"), 6, false);
    }

    /** Removes an endpoint's registration without marking it as leaving first. */
    void remove(String id) {
        revision++;
        registered.remove(id);
    }

    /** Adds a router. Routers with lower numbers become responsible for reading the store first. */
    Router router(int number) {
        return new Router(new Address("10.0.1." + number, 7_340));
    }

    /** A message with the sender's state at the time of writing. */
    record Message(Router sender, RoutingMessage.RoutingState state) {}

    /** A router whose clock differs from the store's clock. */
    final class Router {
        private final FleetRouter router;
        private final DirectoryTracker tracker = new DirectoryTracker();
        private final StoreClock storeClock = new StoreClock();
        private final PeerTable peers;
        private final StoreEra storeEra = new StoreEra();
        private final ReaderElection readerElection;

        private Router(Address address) {
            this.router = FleetRouter.unlocated(address);
            this.peers = new PeerTable(router);
            this.readerElection = new ReaderElection(() -> nowMillis, router, peers, tracker, storeClock);
        }

        /** Reads the store successfully. */
        void readStore() {
            long storeMillis = nowMillis - STORE_CLOCK_OFFSET_MILLIS;
            storeClock.observed(nowMillis, nowMillis, storeMillis);
            tracker.applyOwnRead(
                    new DirectoryReadResult.Listed(
                            new StorePosition(era, revision),
                            storeMillis,
                            List.copyOf(registered.values()),
                            List.copyOf(corrupted)),
                    nowMillis);
        }

        /** Fails to read the store. */
        void failToReadStore() {
            tracker.noteReadFailure(ReadFailure.STORE_UNAVAILABLE, nowMillis);
        }

        /** Receives a response in which an endpoint states that it is leaving. */
        void receiveLeavingResponse(String endpointId) {
            tracker.statedLeaving(endpointId);
        }

        /** Writes a message to the router's peers. */
        Message writeMessage() {
            EndpointListVersion version = tracker.listVersion();
            return new Message(
                    this,
                    new RoutingMessage.RoutingState(
                            1,
                            version.position().revision(),
                            List.of(),
                            tracker.hash(),
                            version.storeMillis(),
                            version.settled(),
                            List.of(),
                            WorkScope.GROUP,
                            tracker.ownReadStoreMillis(),
                            List.of(),
                            tracker.leavingToAnnounce(),
                            version.position().era(),
                            version.position().era(),
                            List.of(),
                            List.of(),
                            List.of()));
        }

        /** Receives a message, and the sender's list if that is newer. */
        void receive(Message message) {
            peers.addOrMention(List.of(message.sender().router), nowMillis);
            Peer peer = peers.find(message.sender().router.id()).orElseThrow();
            peer.recordState(message.state(), RoutingMessageMapper.toListVersion(message.state(), storeEra), nowMillis);
            message.state().leaving().forEach(tracker::statedLeaving);
            EndpointListVersion peerVersion = peer.listVersion();
            if (message.state().directoryHash() == tracker.hash()) {
                tracker.confirmedByPeer(
                        peerVersion, storeClock.earliestLocalMillis(peerVersion.storeMillis(), nowMillis), peer.id());
            } else {
                EndpointSnapshot list = message.sender().tracker.snapshot();
                long readAtMillis =
                        storeClock.earliestLocalMillis(list.version().storeMillis(), nowMillis);
                tracker.applyPeerList(list, readAtMillis, peer.id());
            }
        }

        /** Tells whether the router considers itself responsible for reading the store. */
        boolean mustReadStore() {
            return readerElection.storeReadScope(true).readsDirectory();
        }

        /** Returns the ids of the incarnations that may receive requests. */
        List<String> servingIds() {
            return tracker.directory().accepting(SERVICE).stream()
                    .map(ServiceEndpoint::id)
                    .toList();
        }

        /** Returns the list as peers receive it, after encoding and decoding. */
        EndpointSnapshot decodedSnapshot() throws IOException {
            return EndpointListCodec.decode(EndpointListCodec.encode(tracker.snapshot()));
        }

        /** Applies a peer's list that may have been written earlier. */
        void receiveList(EndpointSnapshot list) {
            tracker.applyPeerList(
                    list, storeClock.earliestLocalMillis(list.version().storeMillis(), nowMillis), "peer");
        }

        /** Tells whether an incarnation may receive requests. */
        boolean sendsTo(String endpointId) {
            return tracker.directory().accepting(SERVICE).stream()
                    .anyMatch(endpoint -> endpoint.id().equals(endpointId));
        }
    }
}
