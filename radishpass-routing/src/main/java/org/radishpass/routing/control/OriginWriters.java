package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.traffic.MonotonicClock;

/**
 * Selects the routers that store origins of streams, and of these the ones that store a given stream. Rendezvous hashing
 * selects them, so that routers that know the same fleet select the same ones. Confined to the control thread.
 */
final class OriginWriters {
    /** The most routers that store origins, which bounds the calls to the store and who has to read what is stored. */
    private static final int MAX_WRITERS = 20;

    /** Routers that store the same stream: one of them may be cut off from the store. */
    private static final int WRITERS_PER_STREAM = 2;

    /** The rank of a router among those that may store origins depends on its name only. */
    private static final long WRITER_SEED = 0x6f726967696e73L;

    /** Milliseconds for which a selection is used. */
    private static final long SELECTION_MILLIS = 500;

    private final MonotonicClock clock;
    private final FleetRouter self;
    private final long selfHash;
    private final PeerTable peers;
    private List<Long> selected = List.of();
    private long selectAgainAtMillis = Long.MIN_VALUE;

    OriginWriters(MonotonicClock clock, FleetRouter self, PeerTable peers) {
        this.clock = clock;
        this.self = self;
        this.selfHash = Rendezvous.hash(self.id());
        this.peers = peers;
    }

    /** Returns the hashes of the routers that store origins. */
    List<Long> all() {
        long nowMillis = clock.millis();
        if (nowMillis >= selectAgainAtMillis) {
            selected = select();
            selectAgainAtMillis = nowMillis + SELECTION_MILLIS;
        }
        return selected;
    }

    private List<Long> select() {
        List<Long> hashes = new ArrayList<>();
        if (self.recordsStreamVersions()) {
            hashes.add(selfHash);
        }
        for (Peer peer : peers.all()) {
            if (!peer.suspected() && peer.router().recordsStreamVersions()) {
                hashes.add(peer.hash());
            }
        }
        return highest(hashes, WRITER_SEED, MAX_WRITERS);
    }

    /** Tells whether this router is one of the given writers that store a stream. */
    boolean storesHere(List<Long> writers, long stream) {
        return highest(writers, stream, WRITERS_PER_STREAM).contains(selfHash);
    }

    /** Returns the peers that store a stream. */
    List<Peer> peersOf(List<Long> writers, long stream) {
        List<Long> chosen = highest(writers, stream, WRITERS_PER_STREAM);
        return peers.all().stream().filter(peer -> chosen.contains(peer.hash())).toList();
    }

    /** Tells whether this router is one of those that store origins. */
    boolean includesSelf() {
        return all().contains(selfHash);
    }

    private static List<Long> highest(List<Long> hashes, long seed, int count) {
        return hashes.stream()
                .sorted(Comparator.comparingLong((Long hash) -> Rendezvous.mix(seed, hash))
                        .reversed())
                .limit(count)
                .toList();
    }
}
