package org.radishpass.routing.connection;

/**
 * A connection that the endpoint has reset. Used to tell a reset by the cap on connections from a fault.
 *
 * @param newConnection whether no byte was ever received on the connection
 * @param ageMillis the milliseconds since the connection was established
 * @param held the number of connections that this router held to the endpoint, including the one that was reset
 * @since 0.8.0
 */
public record ConnectionReset(boolean newConnection, long ageMillis, int held) {
    /**
     * Milliseconds after the connection was established within which a reset is attributed to the cap without further
     * evidence. An endpoint resets a surplus connection as soon as it accepts it; no request crashes it so soon.
     */
    static final long IMMEDIATE_MILLIS = 50;

    /**
     * The number of held connections from which on a later reset is attributed to the cap too. When the process of the
     * endpoint exits, the others break as well, and count as failures.
     */
    static final int SEVERAL = 3;

    /**
     * The fraction of the cap, as a divisor, that the fleet must hold for a reset to be attributed to the cap, if each
     * router holds as many connections as this one. Endpoints accept fewer connections than the cap while their queue
     * is long.
     */
    static final int HELD_FRACTION_DIVISOR = 8;

    /**
     * Tells whether the cap is the most plausible cause of the reset.
     *
     * @param cap the cap of the endpoint
     */
    public boolean byCap(ConnectionCap cap) {
        boolean reachable =
                cap.limited() && (long) held * cap.routers() >= cap.maxConnections() / HELD_FRACTION_DIVISOR;
        return reachable && cap.routers() > 0 && newConnection && (ageMillis <= IMMEDIATE_MILLIS || held >= SEVERAL);
    }
}
