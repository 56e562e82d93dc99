package org.radishpass.routing.placement;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.performance.PlacementEstimate;

/**
 * The endpoint chosen for a request, with the figures that explain the choice.
 *
 * @param endpoint the chosen endpoint
 * @param rank the number of endpoints that precede the chosen one in the rendezvous ranking of the prompt; 0 for the
 *     first
 * @param load the requests in flight at the endpoint when it was chosen
 * @param limit the maximum number of requests in flight that was allowed at the endpoint
 * @param candidates the number of endpoints among which the endpoint was chosen
 * @param cacheHolder another endpoint that probably caches more of the prompt, or null
 * @param estimate what was estimated of the request at the endpoint
 * @since 0.2.0
 */
public record PlacementChoice(
        ServiceEndpoint endpoint,
        int rank,
        int load,
        double limit,
        int candidates,
        @Nullable ServiceEndpoint cacheHolder,
        PlacementEstimate estimate) {
    /** Returns another endpoint that probably caches more of the prompt than the chosen endpoint. */
    public Optional<ServiceEndpoint> holder() {
        return Optional.ofNullable(cacheHolder);
    }
}
