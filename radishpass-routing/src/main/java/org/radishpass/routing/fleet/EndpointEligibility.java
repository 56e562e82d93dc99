package org.radishpass.routing.fleet;

import java.util.Map;
import java.util.Set;
import org.radishpass.core.fleet.DataCentre;

/**
 * The conditions that restrict new requests to endpoints, other than the leaving of single endpoints. Immutable.
 *
 * @param drained the data centres to which no new requests are sent
 * @param coldUntilMillis the end of the warm-up of endpoints that have just started, by endpoint id, on the monotonic
 *     clock in milliseconds; endpoints without an entry were warm at the time of this snapshot
 * @param regions the regions of the data centres
 * @param withoutNewStreams the ids of endpoints at which no stream may begin that can be taken up elsewhere, because their
 *     software version is not recorded yet
 * @since 0.6.0
 */
public record EndpointEligibility(
        Set<DataCentre> drained, Map<String, Long> coldUntilMillis, RegionMap regions, Set<String> withoutNewStreams) {
    /** Eligibility without any restriction. */
    public static final EndpointEligibility ALL = new EndpointEligibility(Set.of(), Map.of(), RegionMap.EMPTY);

    /** Creates an eligibility in which streams may begin at all endpoints. */
    public EndpointEligibility(Set<DataCentre> drained, Map<String, Long> coldUntilMillis, RegionMap regions) {
        this(drained, coldUntilMillis, regions, Set.of());
    }

    /** Creates an eligibility with copies of the collections. */
    public EndpointEligibility {
        drained = Set.copyOf(drained);
        coldUntilMillis = Map.copyOf(coldUntilMillis);
        withoutNewStreams = Set.copyOf(withoutNewStreams);
    }

    /**
     * Tells whether an endpoint is still warming up after its start.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean cold(ServiceEndpoint endpoint, long nowMillis) {
        Long until = coldUntilMillis.get(endpoint.id());
        return until != null && nowMillis < until;
    }
}
