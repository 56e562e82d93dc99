package org.radishpass.routing.control;

import java.time.Duration;
import org.radishpass.core.placement.Rendezvous;

/**
 * Staggers an action that all routers of a fleet perform after the same event. The first routers by name, which read
 * the store for the others, act at once. The others get pseudo-random delays in a window that grows with the fleet, so
 * that a fleet of any size calls the store about equally often per second.
 */
final class StaggeredDelay {
    /**
     * Number of routers that act per second on average: a third of the writes per second that one partition of the
     * store's tables can take.
     */
    static final int ROUTERS_PER_SECOND = 75;

    /** Routers that act without delay: as many as read configurations from the store. */
    static final int UNDELAYED_ROUTERS = 3;

    private static final double MILLIS_PER_SECOND = 1_000;

    private StaggeredDelay() {
        // static methods only
    }

    /**
     * Returns how long a router waits before it acts.
     *
     * @param precedingRouters the number of routers that precede this router by name
     * @param routers the number of routers in the fleet
     * @param nameHash the hash of the router's name
     * @param event a number that identifies the event, so that each event gives other delays
     */
    static Duration delay(int precedingRouters, int routers, long nameHash, long event) {
        if (precedingRouters < UNDELAYED_ROUTERS) {
            return Duration.ZERO;
        }
        long windowMillis = Math.max(1, Math.round(routers * MILLIS_PER_SECOND / ROUTERS_PER_SECOND));
        return Duration.ofMillis(Math.floorMod(Rendezvous.mix(nameHash, event), windowMillis));
    }
}
