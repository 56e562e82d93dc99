package org.radishpass.routing.testing;

import org.radishpass.routing.fleet.StorePosition;

/** Places in the history of a store that has never been restored. */
public final class StorePositions {
    private static final long FIRST_ERA = 1;

    private StorePositions() {
        // static methods only
    }

    /** Returns the place at a revision. */
    public static StorePosition at(long revision) {
        return new StorePosition(FIRST_ERA, revision);
    }
}
