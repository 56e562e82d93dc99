package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;

/**
 * What came of asking the store for the endpoints.
 *
 * @since 0.2.0
 */
public sealed interface DirectoryReading {
    /**
     * All endpoints that are registered.
     *
     * @param position the place in the store's history at which they were read
     * @param storeMillis what the store's steady clock showed, in milliseconds
     * @param endpoints the endpoints
     * @param unusable entries that name no endpoint to use
     * @since 0.2.0
     */
    record Listed(
            StorePosition position,
            long storeMillis,
            List<ServiceEndpoint> endpoints,
            List<EndpointEntry.Unusable> unusable)
            implements DirectoryReading {}

    /**
     * The store did not answer, or refused.
     *
     * @param reason why
     * @since 0.2.0
     */
    record Unavailable(String reason) implements DirectoryReading {}
}
