package org.radishpass.routing.control;

import java.util.List;
import java.util.Set;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * A list of endpoints with the reading that it rests on, as routers give it to each other.
 *
 * @param reading the reading
 * @param endpoints the endpoints, those that leave included
 * @param kept the ids of those that the reading lacked and that are kept for a while; none if it is settled
 */
record EndpointSnapshot(ListReading reading, List<ServiceEndpoint> endpoints, Set<String> kept) {
    /**
     * Returns the list as told by a peer, which may tell no era.
     *
     * @param era the era as known here
     */
    EndpointSnapshot resolved(StoreEra era) {
        return new EndpointSnapshot(reading.resolved(era), endpoints, kept);
    }
}
