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
     * @param registrations the routers' registrations
     * @param revision the store's revision of this router's own registration; -1 if it has none
     * @since 0.2.0
     */
    record Registered(List<Registration> registrations, long revision) implements RegistryReading {
        /** Returns the routers. */
        public List<FleetRouter> routers() {
            return registrations.stream().map(Registration::router).toList();
        }
    }

    /**
     * One router's registration.
     *
     * @param router the router
     * @param revision the store's revision of it
     * @since 0.3.0
     */
    record Registration(FleetRouter router, long revision) {}

    /**
     * The store did not answer, or refused.
     *
     * @param reason why
     * @since 0.2.0
     */
    record Unavailable(String reason) implements RegistryReading {}
}
