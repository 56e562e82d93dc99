package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The other routers that are known. A plain object without a clock; it belongs to the control thread. */
final class PeerBook {
    private static final Logger LOG = LoggerFactory.getLogger(PeerBook.class);

    /**
     * Milliseconds without a sign or mention of a peer until it is forgotten. Its share of the retry budget is free from then
     * on, so that this is longer than any partition that a deployment has to bear.
     */
    static final long FORGET_MILLIS = 60_000;

    private final FleetRouter self;
    private final Map<String, Peer> peers = new LinkedHashMap<>();

    PeerBook(FleetRouter self) {
        this.self = self;
    }

    Collection<Peer> all() {
        return peers.values();
    }

    Optional<Peer> find(String id) {
        return Optional.ofNullable(peers.get(id));
    }

    /** Returns the number of routers, this one included. */
    int routers() {
        return peers.size() + 1;
    }

    /** Returns the number of routers before this one by name, less those that are suspected to be gone. */
    int before() {
        return (int) peers.values().stream()
                .filter(peer -> !peer.suspected() && peer.id().compareTo(self.id()) < 0)
                .count();
    }

    /** Learns of routers; returns those that were not known. */
    List<Peer> learn(Collection<FleetRouter> routers, long nowMillis) {
        List<Peer> news = new ArrayList<>();
        for (FleetRouter router : routers) {
            if (router.id().equals(self.id())) {
                continue;
            }
            Peer peer = peers.get(router.id());
            if (peer == null) {
                LOG.info("router {} is known from now on", router.id(), LogEvent.PEER_KNOWN.field());
                peer = new Peer(router, nowMillis);
                peers.put(router.id(), peer);
                news.add(peer);
            } else {
                peer.mentioned(router, nowMillis);
            }
        }
        return news;
    }

    /** Tries those that are suspected soon: there are signs that a cut has ended. */
    void probeSoon(long nowMillis) {
        peers.values().forEach(peer -> peer.probeSoon(nowMillis));
    }

    /** Forgets those that were not seen for long, and returns them. */
    List<FleetRouter> forget(long nowMillis) {
        List<FleetRouter> forgotten = peers.values().stream()
                .filter(peer -> nowMillis - peer.mentionedAtMillis() > FORGET_MILLIS)
                .map(Peer::router)
                .toList();
        forgotten.forEach(router -> peers.remove(router.id()));
        return forgotten;
    }

    /** Returns this router and those that it has heard itself lately. */
    List<FleetRouter> present(long nowMillis) {
        List<FleetRouter> present = new ArrayList<>();
        present.add(self);
        for (Peer peer : peers.values()) {
            if (nowMillis - peer.heardAtMillis() <= Peer.PRESENT_MILLIS) {
                present.add(peer.router());
            }
        }
        return present;
    }

    /** Returns this router and all that are known and not suspected, those included that others spoke of. */
    List<FleetRouter> known() {
        List<FleetRouter> known = new ArrayList<>();
        known.add(self);
        for (Peer peer : peers.values()) {
            if (!peer.suspected()) {
                known.add(peer.router());
            }
        }
        return known;
    }
}
