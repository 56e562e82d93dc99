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
 * What several routers believe of the endpoints, with a store, messages and a clock that a test moves by hand: no network, no
 * threads. Messages are delivered when the test says so, however long after they were written.
 */
final class DirectoryFleet {
    private static final String SERVICE = "orders";
    private static final long STORE_CLOCK_OFFSET_MILLIS = 7_000_000;

    private final Map<String, ServiceEndpoint> registered = new LinkedHashMap<>();
    private final List<EndpointEntry.Unusable> spoilt = new ArrayList<>();
    private long nowMillis = 100_000;
    private long era = 1;
    private long revision = 1;

    /** Lets time pass. */
    void pass(long millis) {
        nowMillis += millis;
    }

    /** An endpoint registers itself. */
    void register(String id) {
        register(endpoint(id));
    }

    /** An endpoint registers itself that says when it started. */
    void start(String name, long startedAtMillis) {
        register(endpoint(name).startedAs(new Incarnation(startedAtMillis)));
    }

    void register(ServiceEndpoint endpoint) {
        revision++;
        registered.put(endpoint.name(), endpoint);
    }

    /** Tells whether an endpoint is registered. */
    boolean registered(String name) {
        return registered.containsKey(name);
    }

    /** An endpoint says that it leaves. */
    void leave(String name) {
        revision++;
        registered.computeIfPresent(name, (key, endpoint) -> endpoint.asLeaving());
    }

    /** The store's rows and revision of now, to be restored later. */
    Snapshot snapshot() {
        return new Snapshot(revision, new LinkedHashMap<>(registered), List.copyOf(spoilt));
    }

    /** The store is restored from a snapshot: its revisions are given out again. */
    void restore(Snapshot from) {
        era++;
        revision = from.revision();
        registered.clear();
        registered.putAll(from.registered());
        spoilt.clear();
        spoilt.addAll(from.spoilt());
    }

    /** What the store held at some moment. */
    record Snapshot(long revision, Map<String, ServiceEndpoint> registered, List<EndpointEntry.Unusable> spoilt) {}

    /** What another writer put in the place of an entry cannot be used. */
    void spoil(String name) {
        revision++;
        if (registered.remove(name) != null) {
            spoilt.add(new EndpointEntry.Unusable(name, EntryFault.SYNTAX, "spoilt"));
        }
    }

    static ServiceEndpoint endpoint(String name) {
        return new ServiceEndpoint(name, SERVICE, new Address("10.0.0.1", 80), new DataCentre("here"), 6, false);
    }

    /** An endpoint's registration is removed, without a word of leaving before. */
    void remove(String id) {
        revision++;
        registered.remove(id);
    }

    /** Adds a router; they are asked to read the store in the order of their numbers. */
    Member router(int number) {
        return new Member(new Address("10.0.1." + number, 7_340));
    }

    /** A message, as it was written. */
    record News(Member from, RoutingMessage.RoutingState state) {}

    /** One router. The store's clock shows something else than the routers'. */
    final class Member {
        private final FleetRouter router;
        private final DirectoryTracker tracker = new DirectoryTracker();
        private final StoreClock storeClock = new StoreClock();
        private final PeerTable peers;
        private final StoreEra storeEra = new StoreEra();
        private final ReaderElection readers;

        private Member(Address address) {
            this.router = FleetRouter.unlocated(address);
            this.peers = new PeerTable(router);
            this.readers = new ReaderElection(() -> nowMillis, router, peers, tracker, storeClock);
        }

        /** Reads the store. */
        void reads() {
            long storeMillis = nowMillis - STORE_CLOCK_OFFSET_MILLIS;
            storeClock.observed(nowMillis, nowMillis, storeMillis);
            tracker.listed(
                    new DirectoryReading.Listed(
                            new StorePosition(era, revision),
                            storeMillis,
                            List.copyOf(registered.values()),
                            List.copyOf(spoilt)),
                    nowMillis);
        }

        /** Tries to read the store, in vain. */
        void cannotRead() {
            tracker.failed();
        }

        /** Is told by an endpoint, in an answer, that it leaves. */
        void answeredLeaving(String endpointId) {
            tracker.statedLeaving(endpointId);
        }

        /** Writes a message to its peers. */
        News tells() {
            ListReading reading = tracker.reading();
            return new News(
                    this,
                    new RoutingMessage.RoutingState(
                            1,
                            reading.position().revision(),
                            List.of(),
                            tracker.hash(),
                            reading.storeMillis(),
                            reading.settled(),
                            List.of(),
                            WorkScope.GROUP,
                            tracker.ownReadStoreMillis(),
                            List.of(),
                            tracker.leavingToTell(),
                            reading.position().era(),
                            reading.position().era()));
        }

        /** Takes a message, and the sender's list where it has a newer one. */
        void hears(News news) {
            peers.learn(List.of(news.from().router), nowMillis);
            Peer peer = peers.find(news.from().router.id()).orElseThrow();
            peer.recordState(news.state(), RoutingMessageMapper.toListReading(news.state(), storeEra), nowMillis);
            news.state().leaving().forEach(tracker::statedLeaving);
            ListReading told = peer.listReading();
            if (news.state().directoryHash() == tracker.hash()) {
                tracker.confirmed(told, storeClock.earliest(told.storeMillis(), nowMillis), peer.id());
            } else {
                EndpointSnapshot list = news.from().tracker.snapshot();
                long readAtMillis = storeClock.earliest(list.reading().storeMillis(), nowMillis);
                tracker.peerListed(list, readAtMillis, peer.id());
            }
        }

        /** Tells whether it has to read the store now, as far as it believes. */
        boolean mustRead() {
            return readers.duty(true).readsDirectory();
        }

        /** Returns the starts that requests may be placed at. */
        List<String> serving() {
            return tracker.directory().open(SERVICE).stream()
                    .map(ServiceEndpoint::id)
                    .toList();
        }

        /** Returns the list as it is told to peers, through the bytes between them. */
        EndpointSnapshot told() throws IOException {
            return EndpointListCodec.decode(EndpointListCodec.encode(tracker.snapshot()));
        }

        /** Takes a list that was written at some time before. */
        void takes(EndpointSnapshot list) {
            tracker.peerListed(list, storeClock.earliest(list.reading().storeMillis(), nowMillis), "peer");
        }

        /** Tells whether a request may be placed at an endpoint. */
        boolean sendsTo(String endpointId) {
            return tracker.directory().open(SERVICE).stream()
                    .anyMatch(endpoint -> endpoint.id().equals(endpointId));
        }
    }
}
