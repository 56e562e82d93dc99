package org.radishpass.core.fleet;

import java.util.Set;

/**
 * A back end to which requests are routed.
 *
 * <p>Immutable: {@link #withState} returns a new object.
 *
 * @since 0.1.0
 */
public sealed interface Endpoint permits Engine, Runner {
    /** Returns the id of the endpoint in the platform's VM list. */
    String id();

    /** Returns the incarnation of the endpoint, which changes with each restart. */
    String incarnation();

    /** Returns the data centre in which the endpoint runs. */
    DataCentre dataCentre();

    /** Returns the address at which the endpoint accepts requests. */
    Address address();

    /** Returns the lifecycle state of the endpoint. */
    EndpointState state();

    /**
     * Returns the names of the pools that the endpoint serves. A pool consists of all endpoints that serve the same
     * version of a model (with the same adapter, if any) or the same service.
     */
    Set<String> pools();

    /** Returns the endpoint's share of requests relative to other endpoints, above 0. */
    double weight();

    /**
     * Returns whether the endpoint accepts new requests of a pool.
     *
     * @param pool the name of the pool
     */
    default boolean serves(String pool) {
        return state().acceptsNewRequests() && pools().contains(pool);
    }

    /**
     * Returns a copy of this endpoint with another state.
     *
     * @param newState the state of the copy
     */
    Endpoint withState(EndpointState newState);
}
