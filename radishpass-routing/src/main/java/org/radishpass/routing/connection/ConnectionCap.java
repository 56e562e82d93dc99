package org.radishpass.routing.connection;

/**
 * The connections that an endpoint accepts from all routers together, and the number of routers that share them.
 *
 * @param maxConnections the maximum number of connections; 0 or less if there is none
 * @param routers the number of routers that may hold connections, including this router, as {@link RouterCount} tells;
 *     0 if it is not known yet
 * @since 0.8.0
 */
public record ConnectionCap(int maxConnections, int routers) {
    /** The cap of an endpoint that accepts any number of connections. */
    public static final ConnectionCap NONE = new ConnectionCap(0, 0);

    /**
     * The share of a router that does not know the other routers yet. When all routers start at the same time and each
     * probes the endpoint too, 134 routers hold 670 of 893 connections, and 69 routers hold 345 of 470.
     */
    static final int STARTING_SHARE = 4;

    /**
     * The fraction of the cap that is divided among the known routers. The rest is left to routers that start and are
     * not known to the others yet.
     */
    private static final double DIVIDED_FRACTION = 0.9;

    /** The connections that each router may hold beyond its share to find out whether the endpoint is reachable. */
    private static final int PROBES = 1;

    /** Tells whether the endpoint limits its connections. */
    public boolean limited() {
        return maxConnections > 0;
    }

    /** Returns the number of connections that this router may hold besides one probe; at least 1. */
    public int share() {
        if (!limited()) {
            return Integer.MAX_VALUE;
        }
        if (routers == 0) {
            return Math.min(STARTING_SHARE, maxConnections);
        }
        if (routers == 1) {
            return maxConnections;
        }
        return Math.max(1, (int) (maxConnections * DIVIDED_FRACTION / routers) - PROBES);
    }
}
