package org.radishpass.routing.control;

import java.time.Duration;

/**
 * Carries out the actions that a router takes once after each restore of the store from a snapshot. Confined to the
 * control thread.
 */
final class StoreRestoreHandler {
    private final StoreReadMonitor readMonitor;
    private final StoreFollower follower;
    private final Registration registration;
    private final QuarantinePersistence quarantine;
    private final PeerExchange peers;

    StoreRestoreHandler(
            StoreReadMonitor readMonitor,
            StoreFollower follower,
            Registration registration,
            QuarantinePersistence quarantine,
            PeerExchange peers) {
        this.readMonitor = readMonitor;
        this.follower = follower;
        this.registration = registration;
        this.quarantine = quarantine;
        this.peers = peers;
    }

    /**
     * Applies an era that the store or a peer reported. If the era is new, this router reads the store again, rewrites
     * its own rows, and announces the era to peers.
     *
     * @param era the reported era
     * @param origin the source of the report
     */
    void eraObserved(long era, String origin) {
        if (!readMonitor.eraObserved(era, origin)) {
            return;
        }
        Duration turn = peers.staggeredDelay(era);
        follower.storeRestored(turn);
        registration.storeRestored(turn, peers::addRouters);
        quarantine.storeRestored(turn);
        peers.reportNow();
    }
}
