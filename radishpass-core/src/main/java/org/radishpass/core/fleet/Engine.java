package org.radishpass.core.fleet;

import java.util.Set;

/**
 * An endpoint that runs models.
 *
 * @param id the identity in the platform's VM list
 * @param incarnation which start of it this is
 * @param dataCentre where it stands
 * @param address where it takes requests
 * @param state the stage of its life
 * @param pools the loaded models, with adapter and version, that it serves
 * @param weight its share of work relative to others
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
    /** Copies the pools and checks the weight. */
    public Engine {
        pools = Set.copyOf(pools);
        if (!(weight > 0)) {
            throw new IllegalArgumentException("the weight of " + id + " must be above 0, not " + weight);
        }
    }

    @Override
    public Engine inState(EndpointState newState) {
        return new Engine(id, incarnation, dataCentre, address, newState, pools, weight);
    }
}
