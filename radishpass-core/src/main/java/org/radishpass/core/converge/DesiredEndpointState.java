package org.radishpass.core.converge;

import java.util.List;

/**
 * The desired state of an engine.
 *
 * @param awake whether the engine is to be awake
 * @param pools the pools that the engine is to serve, in the order in which they are to be loaded
 * @since 0.1.0
 */
public record DesiredEndpointState(boolean awake, List<String> pools) {
    /** The state of an engine that is awake and has no model loaded. */
    public static final DesiredEndpointState IDLE = new DesiredEndpointState(true, List.of());

    /** The state of a sleeping engine. */
    public static final DesiredEndpointState ASLEEP = new DesiredEndpointState(false, List.of());

    /** Makes a copy of the list of pools. */
    public DesiredEndpointState {
        pools = List.copyOf(pools);
    }
}
