package org.radishpass.routing.fleet;

import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;

/**
 * One start of an endpoint, as it registered itself.
 *
 * @param id names this start; a restart brings a new one
 * @param service the service that it answers for
 * @param address where it takes requests; reused by others once it has gone
 * @param dataCentre where it stands
 * @param slots the requests that it runs at once
 * @param leaving whether it finishes what it has and wants nothing new
 * @param hash the hash of its id for rendezvous
 * @since 0.2.0
 */
public record ServiceEndpoint(
        String id, String service, Address address, DataCentre dataCentre, int slots, boolean leaving, long hash) {
    /** Creates an endpoint and hashes its id. */
    public ServiceEndpoint(
            String id, String service, Address address, DataCentre dataCentre, int slots, boolean leaving) {
        this(id, service, address, dataCentre, slots, leaving, Rendezvous.hash(id));
    }

    /** Returns this endpoint when it wants nothing new. */
    public ServiceEndpoint asLeaving() {
        return new ServiceEndpoint(id, service, address, dataCentre, slots, true, hash);
    }
}
