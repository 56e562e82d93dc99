package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.traffic.MonotonicClock;

/**
 * Determines what a router reads from the store. A member of a group relies on its gatherer as long as the gatherer's
 * list is fresh. Among the gatherers, the first by name that can read the store does so. While it is uncertain which
 * one that is, several read.
 *
 * <p>A peer counts as a reader only by the store's time of its last read, and not while its list still holds
 * endpoints that are missing from the store. A router holds such endpoints for 2.3 s after it was cut off from the
 * store, and routers that relied on it sent requests to endpoints that had left. A peer whose list is from an earlier
 * era of the store does not count either.
 */
final class ReaderElection {
    /**
     * Milliseconds after which a read of the endpoint list is too old to rely on. An endpoint that leaves must get
     * no new requests after two seconds. This bound, the interval at which the read scope is checked (0.15 s), a read that
     * is requested twice (0.35 s) and the response fit into that time.
     */
    static final long STALE_LIST_MILLIS = 1_300;

    private final MonotonicClock clock;
    private final FleetRouter self;
    private final PeerTable peers;
    private final DirectoryTracker directory;
    private final StoreClock storeClock;

    ReaderElection(
            MonotonicClock clock,
            FleetRouter self,
            PeerTable peers,
            DirectoryTracker directory,
            StoreClock storeClock) {
        this.clock = clock;
        this.self = self;
        this.peers = peers;
        this.directory = directory;
        this.storeClock = storeClock;
    }

    /**
     * Returns what this router has to read.
     *
     * @param gathering whether this router gathers work in flight, for itself or for others
     */
    StoreReadScope storeReadScope(boolean gathering) {
        long nowMillis = clock.millis();
        if (nowMillis - directory.readAtMillis() > STALE_LIST_MILLIS) {
            return StoreReadScope.ALL;
        }
        List<Peer> gatherers = peers.all().stream()
                .filter(peer -> !peer.suspected() && peer.isGatherer(nowMillis) && listTrusted(peer))
                .toList();
        if (!gathering) {
            return gatherers.stream().anyMatch(peer -> fresh(peer.listVersion().storeMillis(), nowMillis))
                    ? StoreReadScope.NONE
                    : StoreReadScope.ALL;
        }
        List<Peer> preceding = gatherers.stream()
                .filter(peer -> peer.id().compareTo(self.id()) < 0)
                .toList();
        return StoreReadScope.of(
                preceding.stream().anyMatch(peer -> fresh(peer.ownReadStoreMillis(), nowMillis)), preceding.size());
    }

    /** Tells whether a read at a time of the store's clock is recent enough to rely on. */
    private boolean fresh(long storeMillis, long nowMillis) {
        return nowMillis - storeClock.earliestLocalMillis(storeMillis, nowMillis) < STALE_LIST_MILLIS;
    }

    private boolean listTrusted(Peer peer) {
        EndpointListVersion theirs = peer.listVersion();
        EndpointListVersion ours = directory.listVersion();
        if (theirs.inLaterEraThan(ours) || ours.inLaterEraThan(theirs)) {
            return theirs.inLaterEraThan(ours);
        }
        return theirs.settled() || !ours.settled();
    }
}
