package org.radishpass.core.placement;

/**
 * A router's estimate of the load of endpoints.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface LoadEstimate {
    /**
     * Returns the estimated number of requests in progress at an endpoint.
     *
     * @param endpointId the id of the endpoint
     */
    double load(String endpointId);
}
