package org.radishpass.routing.fleet;

import java.util.Map;
import java.util.Set;
import org.radishpass.core.fleet.DataCentre;

/**
 * What keeps endpoints from new work, beside their own wish to leave; immutable.
 *
 * @param drained the data centres to which nothing new is sent
 * @param coldUntilMillis until when endpoints bear little because they have just started, by id, on the monotonic clock in milliseconds;
 *     others have been warm when this was published
 * @param regions where data centres stand
 * @since 0.6.0
 */
public record EndpointEligibility(Set<DataCentre> drained, Map<String, Long> coldUntilMillis, RegionMap regions) {
    /** Keeps nothing from any endpoint. */
    public static final EndpointEligibility ALL = new EndpointEligibility(Set.of(), Map.of(), RegionMap.EMPTY);

    /** Takes copies. */
    public EndpointEligibility {
        drained = Set.copyOf(drained);
        coldUntilMillis = Map.copyOf(coldUntilMillis);
    }

    /**
     * Tells whether an endpoint has started so lately that it bears little.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean cold(ServiceEndpoint endpoint, long nowMillis) {
        Long until = coldUntilMillis.get(endpoint.id());
        return until != null && nowMillis < until;
    }
}
