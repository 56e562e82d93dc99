package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;

/**
 * The result of a request to the store for the endpoints.
 *
 * @since 0.2.0
 */
public sealed interface DirectoryReadResult {
    /**
     * All registered endpoints.
     *
     * @param position the position in the store's history at which the endpoints were read
     * @param storeMillis the time of the read on the store's monotonic clock, in milliseconds
     * @param endpoints the registered endpoints
     * @param unusable the entries that do not describe a usable endpoint
     * @since 0.2.0
     */
    record Listed(
            StorePosition position, long storeMillis, List<ServiceEndpoint> endpoints, List<UnusableEntry> unusable)
            implements DirectoryReadResult {}

    /**
     * The endpoints could not be read.
     *
     * @param failure the kind of failure
     * @param reason why the read failed
     * @since 0.2.0
     */
    record Unavailable(ReadFailure failure, String reason) implements DirectoryReadResult {
        /** Creates the result of a request to which the store did not respond, or which it refused. */
        public Unavailable(String reason) {
            this(ReadFailure.STORE_UNAVAILABLE, reason);
        }
    }
}
