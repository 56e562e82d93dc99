package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;

/**
 * Tracks the store's era, which increases with each restore, as reported by the store or by peers. Confined to the
 * control thread.
 */
final class StoreEra {
    private static final long UNKNOWN = -1;

    private long firstKnown = UNKNOWN;
    private long latest = UNKNOWN;

    /**
     * Applies an era that the store or a peer reported.
     *
     * @param era the reported era
     * @return whether the store was restored since this router last knew its era
     */
    boolean observed(long era) {
        if (era <= latest) {
            return false;
        }
        boolean restored = latest != UNKNOWN;
        latest = era;
        firstKnown = restored ? firstKnown : era;
        return restored;
    }

    /** Returns the latest known era; -1 before the first one. */
    long latest() {
        return latest;
    }

    /** Returns the era to send to peers; {@link StorePosition#NO_ERA} if unknown. */
    long eraForPeers() {
        return Math.max(StorePosition.NO_ERA, latest);
    }

    /**
     * Returns the era of a statement by a peer. Routers of earlier releases send no era. While this router has not seen
     * a restore, such a statement belongs to the current era. After a restore it does not, since the peer may rely on
     * reads from before.
     *
     * @param sentEra the era that the peer sent, or {@link StorePosition#NO_ERA}
     */
    long resolveSentEra(long sentEra) {
        boolean notSent = sentEra == StorePosition.NO_ERA;
        return notSent && latest == firstKnown ? eraForPeers() : sentEra;
    }
}
