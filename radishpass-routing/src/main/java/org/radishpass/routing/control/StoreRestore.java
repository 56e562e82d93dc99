package org.radishpass.routing.control;

import java.time.Duration;

/** What a router does once after each restore of the store from a snapshot. Belongs to the control thread. */
final class StoreRestore {
    private final StoreReadings readings;
    private final StoreFollower follower;
    private final Registration registration;
    private final QuarantinePersistence quarantine;
    private final PeerExchange peers;

    StoreRestore(
            StoreReadings readings,
            StoreFollower follower,
            Registration registration,
            QuarantinePersistence quarantine,
            PeerExchange peers) {
        this.readings = readings;
        this.follower = follower;
        this.registration = registration;
        this.quarantine = quarantine;
        this.peers = peers;
    }

    /**
     * Takes an era that the store or a peer has told. If it is a later one, what is known of the store is read anew, what this router has written is written again, and
     * peers are told.
     *
     * @param era the era
     * @param origin who told it
     */
    void eraTold(long era, String origin) {
        if (!readings.eraTold(era, origin)) {
            return;
        }
        Duration turn = peers.staggeredDelay(era);
        follower.storeRestored(turn);
        registration.storeRestored(turn, peers::learn);
        quarantine.storeRestored(turn);
        peers.reportNow();
    }
}
