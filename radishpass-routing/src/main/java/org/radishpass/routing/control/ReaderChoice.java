package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.traffic.MonotonicClock;

/**
 * Tells what a router has to read from the store. A member of a group relies on its gatherer while that has a fresh list. Of the
 * routers that gather, the first by name that can read the store does. While it is in doubt, several read.
 *
 * <p>A peer counts as a reader only by what the store's clock says of its last reading, and not while it keeps missing endpoints: a
 * router back from a cut of its own does so for 2.3 s, and those that relied on it sent requests to endpoints that had left. Nor while its list
 * is of an earlier era of the store.
 */
final class ReaderChoice {
    /**
     * Milliseconds after which a reading of the endpoints is too old to rely on. An endpoint that leaves must get nothing new after
     * two seconds: this, a look at the duty (0.15 s), a reading that is asked for twice (0.35 s) and its answer fit into them.
     */
    static final long STALE_LIST_MILLIS = 1_300;

    private final MonotonicClock clock;
    private final FleetRouter self;
    private final PeerBook peers;
    private final DirectoryTracker directory;
    private final StoreClock storeClock;

    ReaderChoice(
            MonotonicClock clock, FleetRouter self, PeerBook peers, DirectoryTracker directory, StoreClock storeClock) {
        this.clock = clock;
        this.self = self;
        this.peers = peers;
        this.directory = directory;
        this.storeClock = storeClock;
    }

    /**
     * Chooses.
     *
     * @param gathering whether this router gathers work in flight, for itself or for others
     */
    ReadingDuty duty(boolean gathering) {
        long nowMillis = clock.millis();
        if (nowMillis - directory.readAtMillis() > STALE_LIST_MILLIS) {
            return ReadingDuty.ALL;
        }
        List<Peer> leaders = peers.all().stream()
                .filter(peer -> !peer.suspected() && peer.leads(nowMillis) && trusted(peer))
                .toList();
        if (!gathering) {
            return leaders.stream().anyMatch(peer -> fresh(peer.listReading().storeMillis(), nowMillis))
                    ? ReadingDuty.NONE
                    : ReadingDuty.ALL;
        }
        List<Peer> before = leaders.stream()
                .filter(peer -> peer.id().compareTo(self.id()) < 0)
                .toList();
        return ReadingDuty.of(
                before.stream().anyMatch(peer -> fresh(peer.ownReadStoreMillis(), nowMillis)), before.size());
    }

    /** Tells whether a moment of the store's clock is recent enough to rely on what was read then. */
    private boolean fresh(long storeMillis, long nowMillis) {
        return nowMillis - storeClock.earliest(storeMillis, nowMillis) < STALE_LIST_MILLIS;
    }

    private boolean trusted(Peer peer) {
        ListReading told = peer.listReading();
        ListReading own = directory.reading();
        if (told.inLaterEraThan(own) || own.inLaterEraThan(told)) {
            return told.inLaterEraThan(own);
        }
        return told.settled() || !own.settled();
    }
}
