package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Holds the other routers that this router knows. It has no clock and is confined to the control thread. */
final class PeerTable {
    private static final Logger LOG = LoggerFactory.getLogger(PeerTable.class);

    /**
     * Milliseconds after the last message or mention of a peer until the peer is removed. From then on, its share of
     * the retry budget goes to the others. So the period exceeds any network partition that a deployment must survive.
     */
    static final long EXPIRY_MILLIS = 60_000;

    private final FleetRouter self;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final List<ReportedPeer> reported = new ArrayList<>();

    PeerTable(FleetRouter self) {
        this.self = self;
    }

    Collection<Peer> all() {
        return peers.values();
    }

    Optional<Peer> find(String id) {
        return Optional.ofNullable(peers.get(id));
    }

    /** Returns the number of known routers, including this router. */
    int routerCount() {
        return peers.size() + 1;
    }

    /** Returns the number of unsuspected routers that precede this router by name. */
    int precedingPeers() {
        return (int) peers.values().stream()
                .filter(peer -> !peer.suspected() && peer.id().compareTo(self.id()) < 0)
                .count();
    }

    /** Adds routers or records that they were mentioned. Returns the peers that were added. */
    List<Peer> addOrMention(Collection<FleetRouter> routers, long nowMillis) {
        List<Peer> added = new ArrayList<>();
        for (FleetRouter router : routers) {
            if (router.id().equals(self.id())) {
                continue;
            }
            Peer peer = peers.get(router.id());
            if (peer == null) {
                peer = new Peer(router, nowMillis);
                peers.put(router.id(), peer);
                added.add(peer);
            } else {
                peer.recordMention(router, nowMillis);
            }
        }
        if (!added.isEmpty()) {
            // one line for all: at a start of 69 routers, a line for each would be 4,692 lines
            LOG.info(
                    "routers added to the known peers: {}",
                    added.stream().map(Peer::id).collect(Collectors.joining(", ")),
                    LogEvent.PEER_KNOWN.field());
        }
        return added;
    }

    /** Brings forward the probes of suspected peers because a network partition seems to have ended. */
    void probeSoon(long nowMillis) {
        peers.values().forEach(peer -> peer.probeSoon(nowMillis));
    }

    /** Removes the peers that have neither sent a message nor been mentioned for the whole period, and returns them. */
    List<FleetRouter> removeExpired(long nowMillis) {
        List<FleetRouter> expired = peers.values().stream()
                .filter(peer -> nowMillis - peer.lastMentionedAtMillis() > EXPIRY_MILLIS)
                .map(Peer::router)
                .toList();
        expired.forEach(router -> peers.remove(router.id()));
        return expired;
    }

    /** Returns this router and the peers from which it has recently received a message. */
    List<FleetRouter> activeRouters(long nowMillis) {
        List<FleetRouter> active = new ArrayList<>();
        active.add(self);
        for (Peer peer : peers.values()) {
            if (nowMillis - peer.lastContactAtMillis() <= Peer.ACTIVE_MILLIS) {
                active.add(peer.router());
            }
        }
        return active;
    }

    /** Reports the peers to a consumer if they, or which of them are suspected, have changed since the last call. */
    void reportChange(BiConsumer<List<FleetRouter>, List<FleetRouter>> consumer) {
        if (!changedSinceReport()) {
            return;
        }
        reported.clear();
        peers.values().forEach(peer -> reported.add(new ReportedPeer(peer.router(), peer.suspected())));
        consumer.accept(
                reported.stream().map(ReportedPeer::router).toList(),
                reported.stream()
                        .filter(peer -> !peer.suspected())
                        .map(ReportedPeer::router)
                        .toList());
    }

    private boolean changedSinceReport() {
        if (reported.size() != peers.size()) {
            return true;
        }
        Iterator<ReportedPeer> before = reported.iterator();
        for (Peer peer : peers.values()) {
            ReportedPeer earlier = before.next();
            if (earlier.suspected() != peer.suspected() || !earlier.router().equals(peer.router())) {
                return true;
            }
        }
        return false;
    }

    /** Returns this router and all peers that are not suspected, including those known only from other routers. */
    List<FleetRouter> unsuspectedRouters() {
        List<FleetRouter> unsuspected = new ArrayList<>();
        unsuspected.add(self);
        for (Peer peer : peers.values()) {
            if (!peer.suspected()) {
                unsuspected.add(peer.router());
            }
        }
        return unsuspected;
    }

    /** A peer as it was last reported. */
    private record ReportedPeer(FleetRouter router, boolean suspected) {}
}
