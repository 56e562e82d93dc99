package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;

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
     * @param position where in the store's history this router's own registration was written; {@link StorePosition#NONE} if it has none
     * @since 0.2.0
     */
    record Registered(List<Registration> registrations, StorePosition position) implements RegistryReading {
        /** Returns the routers. */
        public List<FleetRouter> routers() {
            return registrations.stream().map(Registration::router).toList();
        }
    }

    /**
     * One router's registration.
     *
     * @param router the router
     * @param position where in the store's history it was written
     * @since 0.3.0
     */
    record Registration(FleetRouter router, StorePosition position) {}

    /**
     * The store did not answer, or refused.
     *
     * @param reason why
     * @since 0.2.0
     */
    record Unavailable(String reason) implements RegistryReading {}
}
