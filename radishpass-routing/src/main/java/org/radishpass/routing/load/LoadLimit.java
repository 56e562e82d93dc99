package org.radishpass.routing.load;

import java.util.List;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Limits the requests in flight at an endpoint relative to the mean over the endpoints of its service.
 *
 * @param factor the multiple of the mean that is allowed
 * @param slack the requests allowed in addition, so that a nearly idle service keeps equal prompts together
 * @since 0.2.0
 */
public record LoadLimit(double factor, double slack) {
    /**
     * The limit for requests that are placed by their prompts, relative to the candidate endpoints. Deployments require
     * at most twice the mean plus three requests. This limit is lower because the reports of peers lag by 100 ms.
     */
    public static final LoadLimit PROMPT_AFFINITY = new LoadLimit(1.6, 2);

    /**
     * The limit for requests that are placed by their prompts, relative to all endpoints of a service. Some of these
     * may receive no new requests because their data centre is drained or because they are warming up. The mean in the
     * requirement of the deployments includes these endpoints. This limit is the stricter one as soon as one eighth of
     * the endpoints receive no requests.
     */
    public static final LoadLimit PROMPT_AFFINITY_WHOLE_SERVICE = new LoadLimit(1.8, 2);

    /**
     * Returns the maximum number of requests in flight at one endpoint, including a request that is about to be placed.
     *
     * @param endpoints the endpoints over which the mean is taken
     * @param inFlight the work in flight
     */
    public double requests(List<ServiceEndpoint> endpoints, InFlightTracker inFlight) {
        int sum = 1;
        for (ServiceEndpoint endpoint : endpoints) {
            sum += inFlight.at(endpoint.id()).requests();
        }
        return requests(sum, endpoints.size());
    }

    /**
     * Returns the maximum number of requests in flight at one endpoint, including a request that is about to be placed.
     *
     * @param sum the requests in flight at all endpoints over which the mean is taken, including the request that is
     *     about to be placed
     * @param endpoints the number of these endpoints
     * @since 0.8.0
     */
    public double requests(int sum, int endpoints) {
        return factor * sum / Math.max(1, endpoints) + slack;
    }
}
