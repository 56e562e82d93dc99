package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;

/**
 * The result of registering this router and reading the registered routers.
 *
 * @since 0.2.0
 */
public sealed interface RegistryReadResult {
    /**
     * All registered routers, including this one.
     *
     * @param registrations the registrations of the routers
     * @param position the store position at which this router's own registration was written, or {@link
     *     StorePosition#NONE} if there is none
     * @since 0.2.0
     */
    record Registered(List<Registration> registrations, StorePosition position) implements RegistryReadResult {
        /** Returns the registered routers. */
        public List<FleetRouter> routers() {
            return registrations.stream().map(Registration::router).toList();
        }
    }

    /**
     * The registration of one router.
     *
     * @param router the router
     * @param position the store position at which the registration was written
     * @since 0.3.0
     */
    record Registration(FleetRouter router, StorePosition position) {}

    /**
     * The store could not be read.
     *
     * @param failure the kind of failure
     * @param reason why the read failed
     * @since 0.2.0
     */
    record Unavailable(ReadFailure failure, String reason) implements RegistryReadResult {
        /** Creates the result of a request to which the store did not respond, or which it refused. */
        public Unavailable(String reason) {
            this(ReadFailure.STORE_UNAVAILABLE, reason);
        }
    }
}
