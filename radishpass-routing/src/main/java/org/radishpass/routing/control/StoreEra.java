package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;

/** The era of the store as this router knows it, from any answer of the store or from a peer. Belongs to the control thread. */
final class StoreEra {
    private static final long UNKNOWN = -1;

    private long first = UNKNOWN;
    private long latest = UNKNOWN;

    /**
     * Takes an era that the store or a peer has told.
     *
     * @param era the era
     * @return whether the store was restored since this router knew its era last
     */
    boolean told(long era) {
        if (era <= latest) {
            return false;
        }
        boolean restored = latest != UNKNOWN;
        latest = era;
        first = restored ? first : era;
        return restored;
    }

    /** Returns the latest era that is known; -1 before the first. */
    long latest() {
        return latest;
    }

    /** Returns the era to tell peers. */
    long toTell() {
        return Math.max(StorePosition.NO_ERA, latest);
    }

    /**
     * Returns the era of what a router of an earlier release tells: it tells none. While this router has seen no restore it is the same as its own; after one the
     * other may rely on readings of before.
     *
     * @param told the era that was told
     */
    long resolved(long told) {
        boolean untold = told == StorePosition.NO_ERA;
        return untold && latest == first ? toTell() : told;
    }
}
