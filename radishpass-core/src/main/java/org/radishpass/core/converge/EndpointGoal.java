package org.radishpass.core.converge;

import java.util.List;

/**
 * What an engine is to do.
 *
 * @param awake whether it is to be awake
 * @param pools the pools that it is to serve, in the order in which they are to be loaded
 * @since 0.1.0
 */
public record EndpointGoal(boolean awake, List<String> pools) {
    /** An engine that is to stay awake without a model. */
    public static final EndpointGoal IDLE = new EndpointGoal(true, List.of());

    /** An engine that is to sleep. */
    public static final EndpointGoal ASLEEP = new EndpointGoal(false, List.of());

    /** Copies the pools. */
    public EndpointGoal {
        pools = List.copyOf(pools);
    }
}
