package org.radishpass.routing.load;

import java.util.List;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * How much work an endpoint may hold, relative to the mean of its service.
 *
 * @param factor the multiple of the mean that is allowed
 * @param slack requests allowed beyond that, so that a nearly idle service does not spread its prompts
 * @since 0.2.0
 */
public record LoadLimit(double factor, double slack) {
    /**
     * The limit for chats. Deployments require twice the mean and three requests; reports of peers lag by a tenth of a
     * second, so that placement keeps well below.
     */
    public static final LoadLimit CHATS = new LoadLimit(1.6, 2);

    /**
     * The limit against the mean of all endpoints of a service while some of them get nothing new, because their data centre is drained or
     * they have just started: the mean that deployments require counts these too. It binds once an eighth of them get nothing.
     */
    public static final LoadLimit WHOLE_SERVICE = new LoadLimit(1.8, 2);

    /**
     * Returns the most requests that an endpoint may hold before it is given another one.
     *
     * @param endpoints the endpoints that share the work
     * @param book the work in flight
     */
    public double requests(List<ServiceEndpoint> endpoints, InFlightBook book) {
        int sum = 1;
        for (ServiceEndpoint endpoint : endpoints) {
            sum += book.at(endpoint.id()).requests();
        }
        return factor * sum / Math.max(1, endpoints.size()) + slack;
    }
}
