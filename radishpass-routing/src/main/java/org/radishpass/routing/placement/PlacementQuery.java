package org.radishpass.routing.placement;

import java.util.List;
import java.util.Optional;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * The inputs to the choice of a request's endpoint.
 *
 * @param candidates the endpoints to which the request may be sent
 * @param wholeService the usable endpoints of the service, including endpoints that receive no new requests for now
 * @param cacheSources the endpoints from whose caches prompts can be fetched, including leaving endpoints
 * @param prompt the description of the prompt, if the request has one
 * @param requestHash a uniformly distributed hash of the request, which breaks ties
 * @param routers the number of routers in the fleet, including this router
 * @param nowMillis the time on the monotonic clock, in milliseconds
 * @since 0.2.0
 */
public record PlacementQuery(
        List<ServiceEndpoint> candidates,
        List<ServiceEndpoint> wholeService,
        List<ServiceEndpoint> cacheSources,
        Optional<PromptDescription> prompt,
        long requestHash,
        int routers,
        long nowMillis) {}
