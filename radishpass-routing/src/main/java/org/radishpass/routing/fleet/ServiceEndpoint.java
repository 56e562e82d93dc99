package org.radishpass.routing.fleet;

import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;

/**
 * One start of an endpoint, as it registered itself. All that is believed of an endpoint is kept by {@link #id}, so that nothing of it
 * outlives this start: health, work in flight, cached prompts, connections, and that it leaves.
 *
 * @param id names this start
 * @param name the name under which the endpoint registered; another start may have the same
 * @param incarnation which start of that name it is
 * @param service the service that it answers for
 * @param address where it takes requests; reused by others once it has gone
 * @param dataCentre where it stands
 * @param slots the requests that it runs at once
 * @param leaving whether it finishes what it has and wants nothing new
 * @param hash the hash of its id for rendezvous
 * @param coldUntilStoreMillis until when it bears little because it has just started, on the store's clock in milliseconds;
 *     {@link #NEVER_COLD} if it did not say so
 * @since 0.2.0
 */
public record ServiceEndpoint(
        String id,
        String name,
        Incarnation incarnation,
        String service,
        Address address,
        DataCentre dataCentre,
        int slots,
        boolean leaving,
        long hash,
        long coldUntilStoreMillis) {
    /** Stands for an endpoint that has not been cold as far as is known. */
    public static final long NEVER_COLD = -1;

    private static final char SEPARATOR = '@';

    /** Creates an endpoint that does not say when it started, and hashes its id. */
    public ServiceEndpoint(
            String id, String service, Address address, DataCentre dataCentre, int slots, boolean leaving) {
        this(id, id, Incarnation.UNTOLD, service, address, dataCentre, slots, leaving, Rendezvous.hash(id), NEVER_COLD);
    }

    /** Returns this endpoint when it wants nothing new. */
    public ServiceEndpoint asLeaving() {
        return new ServiceEndpoint(
                id, name, incarnation, service, address, dataCentre, slots, true, hash, coldUntilStoreMillis);
    }

    /**
     * Returns this endpoint when it bears little until a moment.
     *
     * @param storeMillis the moment, on the store's clock in milliseconds; {@link #NEVER_COLD} for none
     */
    public ServiceEndpoint coldUntil(long storeMillis) {
        return new ServiceEndpoint(
                id, name, incarnation, service, address, dataCentre, slots, leaving, hash, storeMillis);
    }

    /**
     * Returns this endpoint as a start of its own.
     *
     * @param which the start
     */
    public ServiceEndpoint startedAs(Incarnation which) {
        String startId = which.told() ? name + SEPARATOR + which.startedAtMillis() : name;
        return new ServiceEndpoint(
                startId,
                name,
                which,
                service,
                address,
                dataCentre,
                slots,
                leaving,
                Rendezvous.hash(startId),
                coldUntilStoreMillis);
    }
}
