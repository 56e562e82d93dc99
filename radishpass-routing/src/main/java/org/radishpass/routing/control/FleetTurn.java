package org.radishpass.routing.control;

import java.time.Duration;
import org.radishpass.core.placement.Rendezvous;

/**
 * When a router does what all routers of a fleet have to do after the same event. The first by name, who read the store for the others, do it at once; the
 * others' turns are spread evenly, so that a fleet of any size makes the same number of calls a second.
 */
final class FleetTurn {
    /** Turns in a second: a third of what one part of the store's tables can write, all of a large fleet together. */
    static final int TURNS_PER_SECOND = 75;

    /** Routers that do not wait: as many as wait for configurations at the store. */
    static final int AT_ONCE = 3;

    private static final double MILLIS_PER_SECOND = 1_000;

    private FleetTurn() {
        // static methods only
    }

    /**
     * Returns how long a router waits for its turn.
     *
     * @param before routers that are before this one by name
     * @param routers routers of the fleet
     * @param name the hash of the router's name
     * @param event a number of the event
     */
    static Duration delay(int before, int routers, long name, long event) {
        if (before < AT_ONCE) {
            return Duration.ZERO;
        }
        long windowMillis = Math.max(1, Math.round(routers * MILLIS_PER_SECOND / TURNS_PER_SECOND));
        return Duration.ofMillis(Math.floorMod(Rendezvous.mix(name, event), windowMillis));
    }
}
