package org.radishpass.routing.fleet;

import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;

/**
 * One incarnation of an endpoint, as the endpoint registered itself. The router keeps all state of an endpoint by
 * {@link #id}, so that no state outlives the incarnation: health, work in flight, cached prompts, connections and
 * whether the endpoint is leaving.
 *
 * @param id the unique id of this incarnation
 * @param name the name under which the endpoint registered; shared by all incarnations of the endpoint
 * @param incarnation the incarnation among those with the same name
 * @param service the name of the service
 * @param address the address at which the endpoint accepts requests; other endpoints may reuse it later
 * @param dataCentre the data centre of the endpoint
 * @param slots the number of requests that the endpoint runs concurrently
 * @param leaving whether the endpoint is leaving: it completes its requests and accepts no new ones
 * @param hash the hash of the id for rendezvous hashing
 * @param coldUntilStoreMillis the end of the warm-up, on the store's clock in milliseconds; {@link #NEVER_COLD} if the
 *     endpoint has stated none
 * @param softwareVersion the version of the software that the endpoint runs
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
        long coldUntilStoreMillis,
        SoftwareVersion softwareVersion) {
    /** The end of the warm-up of an endpoint that has stated none. */
    public static final long NEVER_COLD = -1;

    private static final char SEPARATOR = '@';

    /** Creates an endpoint that states no start time, warm-up or version, and computes the hash of its id. */
    public ServiceEndpoint(
            String id, String service, Address address, DataCentre dataCentre, int slots, boolean leaving) {
        this(
                id,
                id,
                Incarnation.UNKNOWN,
                service,
                address,
                dataCentre,
                slots,
                leaving,
                Rendezvous.hash(id),
                NEVER_COLD,
                SoftwareVersion.UNKNOWN);
    }

    /** Returns a copy of this endpoint that is leaving. */
    public ServiceEndpoint asLeaving() {
        return new ServiceEndpoint(
                id,
                name,
                incarnation,
                service,
                address,
                dataCentre,
                slots,
                true,
                hash,
                coldUntilStoreMillis,
                softwareVersion);
    }

    /**
     * Returns a copy of this endpoint with another end of its warm-up.
     *
     * @param storeMillis the end of the warm-up, on the store's clock in milliseconds; {@link #NEVER_COLD} for none
     */
    public ServiceEndpoint withColdUntil(long storeMillis) {
        return new ServiceEndpoint(
                id,
                name,
                incarnation,
                service,
                address,
                dataCentre,
                slots,
                leaving,
                hash,
                storeMillis,
                softwareVersion);
    }

    /**
     * Returns a copy of this endpoint with another incarnation and with the id that follows from it.
     *
     * @param newIncarnation the incarnation
     */
    public ServiceEndpoint withIncarnation(Incarnation newIncarnation) {
        String newId = newIncarnation.known() ? name + SEPARATOR + newIncarnation.startedAtMillis() : name;
        return new ServiceEndpoint(
                newId,
                name,
                newIncarnation,
                service,
                address,
                dataCentre,
                slots,
                leaving,
                Rendezvous.hash(newId),
                coldUntilStoreMillis,
                softwareVersion);
    }

    /**
     * Returns a copy of this endpoint with another software version.
     *
     * @param version the version
     */
    public ServiceEndpoint withSoftwareVersion(SoftwareVersion version) {
        return new ServiceEndpoint(
                id,
                name,
                incarnation,
                service,
                address,
                dataCentre,
                slots,
                leaving,
                hash,
                coldUntilStoreMillis,
                version);
    }
}
