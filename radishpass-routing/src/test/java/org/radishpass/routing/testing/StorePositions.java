package org.radishpass.routing.testing;

import org.radishpass.routing.fleet.StorePosition;

/** Creates positions in the history of a store that has never been restored from a snapshot. */
public final class StorePositions {
    private static final long FIRST_ERA = 1;

    private StorePositions() {
        // static methods only
    }

    /** Returns the position at a revision in the first era. */
    public static StorePosition at(long revision) {
        return new StorePosition(FIRST_ERA, revision);
    }
}
