package org.radishpass.core.membership;

import java.util.Set;
import org.radishpass.core.fleet.EndpointState;

/**
 * What an endpoint said of itself, or that it did not answer.
 *
 * @param endpointId the endpoint
 * @param incarnation which start of it; a later start sorts after an earlier one
 * @param sequence grows with each report of an incarnation
 * @param state the stage of its life
 * @param pools the pools that it serves
 * @param running the requests that it runs
 * @param capacity the requests that it can run at once; 0 if it does not say
 * @since 0.1.0
 */
public record EndpointReport(
        String endpointId,
        String incarnation,
        long sequence,
        EndpointState state,
        Set<String> pools,
        int running,
        int capacity) {
    /** Copies the pools. */
    public EndpointReport {
        pools = Set.copyOf(pools);
    }

    /**
     * Tells whether this is newer than another report of the same endpoint.
     *
     * @param other the other report
     */
    public boolean newerThan(EndpointReport other) {
        int byIncarnation = incarnation.compareTo(other.incarnation);
        return byIncarnation > 0 || (byIncarnation == 0 && sequence > other.sequence);
    }

    /**
     * Tells whether two reports lead to the same choice of endpoints.
     *
     * @param other the other report
     */
    public boolean sameStanding(EndpointReport other) {
        return incarnation.equals(other.incarnation) && state == other.state && pools.equals(other.pools);
    }
}
