package org.radishpass.core.fleet;

import java.util.Set;

/**
 * An endpoint that runs language models.
 *
 * @param id the id of the endpoint in the platform's VM list
 * @param incarnation the incarnation of the endpoint, which changes with each restart
 * @param dataCentre the data centre in which the endpoint runs
 * @param address the address at which the endpoint accepts requests
 * @param state the lifecycle state of the endpoint
 * @param pools the pools that the engine serves: the loaded models, each with version and adapter
 * @param weight the endpoint's share of requests relative to other endpoints, above 0
 * @since 0.1.0
 */
public record Engine(
        String id,
        String incarnation,
        DataCentre dataCentre,
        Address address,
        EndpointState state,
        Set<String> pools,
        double weight)
        implements Endpoint {
    /** Makes a copy of the set of pools and checks the weight. */
    public Engine {
        pools = Set.copyOf(pools);
        if (!(weight > 0)) {
            throw new IllegalArgumentException("the weight of " + id + " must be above 0, not " + weight);
        }
    }

    @Override
    public Engine withState(EndpointState newState) {
        return new Engine(id, incarnation, dataCentre, address, newState, pools, weight);
    }
}
