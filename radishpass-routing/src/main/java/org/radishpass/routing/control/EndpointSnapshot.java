package org.radishpass.routing.control;

import java.util.List;
import java.util.Set;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * A list of endpoints with the store read on which it is based, as routers exchange it.
 *
 * @param version the store read on which the list is based
 * @param endpoints the endpoints, including those that are leaving
 * @param retainedIds the ids of endpoints that the read did not contain and that are retained for a while; empty if the
 *     list is settled
 */
record EndpointSnapshot(EndpointListVersion version, List<ServiceEndpoint> endpoints, Set<String> retainedIds) {
    /**
     * Returns this list, received from a peer, with the era filled in if the peer sent none.
     *
     * @param era the era as known to this router
     */
    EndpointSnapshot withResolvedEra(StoreEra era) {
        return new EndpointSnapshot(version.withResolvedEra(era), endpoints, retainedIds);
    }
}
