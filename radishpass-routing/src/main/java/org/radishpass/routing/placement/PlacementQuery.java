package org.radishpass.routing.placement;

import java.util.List;
import java.util.Optional;
import org.radishpass.routing.dialect.PromptShape;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * What a request's endpoint is chosen by.
 *
 * @param candidates the endpoints that may be given the request
 * @param wholeService the endpoints in working order, those included that get nothing new for now
 * @param cacheSources the endpoints whose caches can be fetched from, those that leave included
 * @param prompt what the request says of its prompt, if anything
 * @param requestHash a well mixed hash of the request, which breaks ties
 * @param routers the routers of the fleet, this one included
 * @param nowMillis the time on the monotonic clock, in milliseconds
 * @since 0.2.0
 */
public record PlacementQuery(
        List<ServiceEndpoint> candidates,
        List<ServiceEndpoint> wholeService,
        List<ServiceEndpoint> cacheSources,
        Optional<PromptShape> prompt,
        long requestHash,
        int routers,
        long nowMillis) {}
