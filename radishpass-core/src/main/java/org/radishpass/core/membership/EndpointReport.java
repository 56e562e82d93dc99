package org.radishpass.core.membership;

import java.util.Set;
import org.radishpass.core.fleet.EndpointState;

/**
 * A report of an endpoint on itself, or the observation that the endpoint did not answer.
 *
 * @param endpointId the id of the endpoint
 * @param incarnation the incarnation of the endpoint; a later one sorts after an earlier one
 * @param sequence a number that increases with each report of an incarnation
 * @param state the lifecycle state of the endpoint
 * @param pools the names of the pools that the endpoint serves
 * @param running the number of requests in progress at the endpoint
 * @param capacity the number of requests that the endpoint can run concurrently; 0 if it does not report one
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
    /** Makes a copy of the set of pools. */
    public EndpointReport {
        pools = Set.copyOf(pools);
    }

    /**
     * Returns whether this report is newer than another report of the same endpoint.
     *
     * @param other the other report
     */
    public boolean newerThan(EndpointReport other) {
        int byIncarnation = incarnation.compareTo(other.incarnation);
        return byIncarnation > 0 || (byIncarnation == 0 && sequence > other.sequence);
    }

    /**
     * Returns whether this report and another one agree in incarnation, state and pools, and so make the endpoint
     * eligible for the same requests.
     *
     * @param other the other report
     */
    public boolean sameIncarnationStateAndPools(EndpointReport other) {
        return incarnation.equals(other.incarnation) && state == other.state && pools.equals(other.pools);
    }
}
