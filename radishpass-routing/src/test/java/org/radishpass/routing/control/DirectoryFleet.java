package org.radishpass.routing.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * What several routers believe of the endpoints, with a store, messages and a clock that a test moves by hand: no network, no
 * threads. Messages are delivered when the test says so, however long after they were written.
 */
final class DirectoryFleet {
    private static final String SERVICE = "orders";

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
        return new Member("10.0.1." + number + ":7340");
    }

    /** A message, as it was written. */
    record News(Member from, RoutingMessage.RoutingState state) {}

    /** One router. */
    final class Member {
        private final String id;
        private final DirectoryTracker tracker = new DirectoryTracker();
        private final Map<String, Peer> peers = new HashMap<>();

        private Member(String id) {
            this.id = id;
        }

        /** Reads the store. */
        void reads() {
            tracker.listed(revision, List.copyOf(registered.values()), nowMillis);
        }

        /** Tries to read the store, in vain. */
        void cannotRead() {
            tracker.failed();
        }

        /** Writes a message to its peers. */
        News tells() {
            return new News(
                    this,
                    new RoutingMessage.RoutingState(
                            1,
                            tracker.revision(),
                            List.of(),
                            tracker.hash(),
                            nowMillis - tracker.readAtMillis(),
                            List.of(),
                            WorkScope.GROUP,
                            nowMillis - tracker.ownReadAtMillis()));
        }

        /** Takes a message, and the sender's list where it has a newer one. */
        void hears(News news) {
            Peer peer = peers.computeIfAbsent(news.from().id, name -> {
                int colon = name.indexOf(':');
                Address address = new Address(name.substring(0, colon), Integer.parseInt(name.substring(colon + 1)));
                return new Peer(org.radishpass.routing.fleet.FleetRouter.unlocated(address), nowMillis);
            });
            peer.told(news.state(), nowMillis);
            if (news.state().directoryHash() == tracker.hash()) {
                tracker.confirmed(news.state().directory(), peer.listReadAtMillis(), peer.id());
            } else {
                DirectoryTracker there = news.from().tracker;
                tracker.peerListed(there.revision(), there.endpoints(), peer.listReadAtMillis(), peer.id());
            }
        }

        /** Tells whether it has to read the store now, as far as it believes. */
        boolean mustRead() {
            if (nowMillis - tracker.readAtMillis() > PeerExchange.STALE_LIST_MILLIS) {
                return true;
            }
            boolean readBefore = peers.values().stream()
                    .filter(peer -> peer.id().compareTo(id) < 0)
                    .anyMatch(peer -> nowMillis - peer.ownReadAtMillis() < PeerExchange.STALE_LIST_MILLIS);
            return ReadingDuty.of(readBefore, peers.size()).readsDirectory();
        }

        /** Tells whether a request may be placed at an endpoint. */
        boolean sendsTo(String endpointId) {
            return tracker.directory().open(SERVICE).stream()
                    .anyMatch(endpoint -> endpoint.id().equals(endpointId));
        }
    }
}
