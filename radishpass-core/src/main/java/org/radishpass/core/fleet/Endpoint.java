package org.radishpass.core.fleet;

import java.util.Set;

/**
 * A back end that requests are routed to.
 *
 * <p>Immutable; a change of state makes a new object.
 *
 * @since 0.1.0
 */
public sealed interface Endpoint permits Engine, Runner {
    /** Returns the identity in the platform's VM list. */
    String id();

    /** Returns which start of the endpoint this is; a restart brings a new one. */
    String incarnation();

    /** Returns where the endpoint stands. */
    DataCentre dataCentre();

    /** Returns where it takes requests. */
    Address address();

    /** Returns the stage of its life. */
    EndpointState state();

    /** Returns the names of the pools whose requests it can answer. */
    Set<String> pools();

    /** Returns its share of work relative to others, above 0. */
    double weight();

    /** Tells whether it can be given new work of a pool. */
    default boolean serves(String pool) {
        return state().takesWork() && pools().contains(pool);
    }

    /**
     * Returns this endpoint in another state.
     *
     * @param newState the state to take
     */
    Endpoint inState(EndpointState newState);
}
