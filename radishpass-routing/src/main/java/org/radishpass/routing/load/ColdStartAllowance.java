package org.radishpass.routing.load;

import org.radishpass.routing.config.ColdStart;

/**
 * What all routers together may send to an endpoint that has just started, beyond what it bears.
 *
 * @param factor the multiple of the requests a second that it bears
 * @param slack requests allowed beyond that in any one second
 * @since 0.6.0
 */
public record ColdStartAllowance(double factor, double slack) {
    /** Allows what an endpoint bears. */
    public static final ColdStartAllowance DEFAULT = new ColdStartAllowance(1, 0);

    /** Two halves of a fleet that know nothing of each other must keep the limit together. */
    private static final double PART_PLANNED = 0.5;

    /**
     * Returns the requests that routers which know of each other send to one endpoint in one second.
     *
     * @param coldStart what the endpoint bears
     */
    public double planned(ColdStart coldStart) {
        return PART_PLANNED * (factor * coldStart.requestsPerSecond() + slack);
    }
}
