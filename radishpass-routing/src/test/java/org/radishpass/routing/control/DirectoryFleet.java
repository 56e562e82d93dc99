package org.radishpass.routing.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * What several routers believe of the endpoints, with a store, messages and a clock that a test moves by hand: no network, no
 * threads. Messages are delivered when the test says so, however long after they were written.
 */
final class DirectoryFleet {
    private static final String SERVICE = "orders";
    private static final long STORE_CLOCK_OFFSET_MILLIS = 7_000_000;

    private final Map<String, ServiceEndpoint> registered = new LinkedHashMap<>();
    private long nowMillis = 100_000;
    private long revision = 1;

    /** Lets time pass. */
    void pass(long millis) {
        nowMillis += millis;
    }

    /** An endpoint registers itself. */
    void register(String id) {
        revision++;
        registered.put(
                id, new ServiceEndpoint(id, SERVICE, new Address("10.0.0.1", 80), new DataCentre("here"), 6, false));
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
        private final PeerBook peers;
        private final ReaderChoice readers;

        private Member(Address address) {
            this.router = FleetRouter.unlocated(address);
            this.peers = new PeerBook(router);
            this.readers = new ReaderChoice(() -> nowMillis, router, peers, tracker, storeClock);
        }

        /** Reads the store. */
        void reads() {
            long storeMillis = nowMillis - STORE_CLOCK_OFFSET_MILLIS;
            storeClock.observed(nowMillis, nowMillis, storeMillis);
            tracker.listed(
                    new DirectoryReading.Listed(revision, storeMillis, List.copyOf(registered.values())), nowMillis);
        }

        /** Tries to read the store, in vain. */
        void cannotRead() {
            tracker.failed();
        }

        /** Writes a message to its peers. */
        News tells() {
            ListReading reading = tracker.reading();
            return new News(
                    this,
                    new RoutingMessage.RoutingState(
                            1,
                            reading.revision(),
                            List.of(),
                            tracker.hash(),
                            reading.storeMillis(),
                            reading.settled(),
                            List.of(),
                            WorkScope.GROUP,
                            tracker.ownReadStoreMillis()));
        }

        /** Takes a message, and the sender's list where it has a newer one. */
        void hears(News news) {
            peers.learn(List.of(news.from().router), nowMillis);
            Peer peer = peers.find(news.from().router.id()).orElseThrow();
            peer.told(news.state(), nowMillis);
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

        /** Tells whether a request may be placed at an endpoint. */
        boolean sendsTo(String endpointId) {
            return tracker.directory().open(SERVICE).stream()
                    .anyMatch(endpoint -> endpoint.id().equals(endpointId));
        }
    }
}
