package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.FleetRouter;

/**
 * What came of registering this router and asking for the others.
 *
 * @since 0.2.0
 */
public sealed interface RegistryReading {
    /**
     * The routers that are registered, this one included.
     *
     * @param routers the routers
     * @param revision the store's revision of this router's own registration
     * @since 0.2.0
     */
    record Registered(List<FleetRouter> routers, long revision) implements RegistryReading {}

    /**
     * The store did not answer, or refused.
     *
     * @param reason why
     * @since 0.2.0
     */
    record Unavailable(String reason) implements RegistryReading {}
}
