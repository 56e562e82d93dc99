package org.radishpass.routing.load;

import org.radishpass.routing.config.ColdStart;

/**
 * Limits the requests per second that all routers together may send to an endpoint that is warming up.
 *
 * @param factor the multiple of the endpoint's capacity during its warm-up that may be sent
 * @param slack the requests allowed in addition in any one second
 * @since 0.6.0
 */
public record ColdStartAllowance(double factor, double slack) {
    /** Allows the endpoint's capacity during its warm-up, and no more. */
    public static final ColdStartAllowance DEFAULT = new ColdStartAllowance(1, 0);

    /**
     * The fraction of the limit that connected routers use: two disconnected halves of a fleet must keep it together.
     */
    private static final double PLANNED_FRACTION = 0.5;

    /**
     * Returns the requests that a group of routers that know each other sends to one endpoint in one second.
     *
     * @param coldStart the warm-up of the endpoint
     */
    public double planned(ColdStart coldStart) {
        return PLANNED_FRACTION * (factor * coldStart.requestsPerSecond() + slack);
    }
}
