package org.radishpass.routing.placement;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Where a request is to go, and why.
 *
 * @param endpoint the endpoint
 * @param rank how many endpoints that were nearer to the request's prompt were passed over; 0 for its first choice
 * @param load the requests that were in flight there
 * @param limit the most that were allowed there
 * @param candidates the endpoints among which it was chosen
 * @param cacheHolder another endpoint that probably holds more of the prompt in its cache, or null
 * @since 0.2.0
 */
public record PlacementChoice(
        ServiceEndpoint endpoint,
        int rank,
        int load,
        double limit,
        int candidates,
        @Nullable ServiceEndpoint cacheHolder) {
    /** Returns another endpoint that probably holds more of the prompt in its cache. */
    public Optional<ServiceEndpoint> holder() {
        return Optional.ofNullable(cacheHolder);
    }
}
