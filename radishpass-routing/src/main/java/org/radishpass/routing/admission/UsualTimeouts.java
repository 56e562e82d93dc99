package org.radishpass.routing.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Recognises callers that were refused before by the time for which they still wait. The usual time of a route is a
 * running maximum of what its callers state.
 *
 * @since 0.8.0
 */
public final class UsualTimeouts {
    /** A time below this fraction of the usual one belongs to a caller that returns; transfers take far less. */
    private static final double RETURNED_FRACTION = 0.9;

    /** The factor by which the maximum falls with each request, so that it follows callers that change their time. */
    private static final double DECAY = 0.999;

    /** The maximum number of routes; beyond it all are forgotten and learned again. */
    private static final int MAX_ROUTES = 4_096;

    private final Map<String, Double> maximumByRoute = new HashMap<>();

    /**
     * Records the time for which a caller still waits.
     *
     * @param route the name of the route
     * @param timeoutMillis the time that the caller states, in milliseconds
     * @param routeTimeoutMillis the timeout of the route in milliseconds; longer times count as this one, since a
     *     single caller that states an hour would otherwise mark all others as returned
     * @return whether the time indicates that the caller was refused before
     */
    public boolean returned(String route, long timeoutMillis, long routeTimeoutMillis) {
        if (maximumByRoute.size() >= MAX_ROUTES) {
            maximumByRoute.clear();
        }
        double usual = maximumByRoute.getOrDefault(route, 0.0);
        long countedMillis = Math.min(timeoutMillis, routeTimeoutMillis);
        maximumByRoute.put(route, Math.max((double) countedMillis, usual * DECAY));
        return countedMillis < usual * RETURNED_FRACTION;
    }
}
