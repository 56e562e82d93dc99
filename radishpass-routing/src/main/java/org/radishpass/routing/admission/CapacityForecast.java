package org.radishpass.routing.admission;

import java.util.OptionalLong;

/**
 * Tells when a service that is full has capacity again.
 *
 * @since 0.8.0
 */
@FunctionalInterface
public interface CapacityForecast {
    /** A forecast that knows nothing. */
    CapacityForecast UNKNOWN = (service, urgency, workspace) -> OptionalLong.empty();

    /**
     * Returns the expected time until the service accepts a request, in milliseconds; empty if unknown.
     *
     * @param service the name of the service
     * @param urgency the urgency of the request; 0 is the most urgent
     * @param workspace the name of the workspace; empty if none
     */
    OptionalLong millisUntilCapacity(String service, int urgency, String workspace);
}
