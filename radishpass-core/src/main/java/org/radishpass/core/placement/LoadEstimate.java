package org.radishpass.core.placement;

/**
 * What a router believes of the load of endpoints.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface LoadEstimate {
    /**
     * Returns the number of requests believed to run at an endpoint.
     *
     * @param endpointId the endpoint's identity
     */
    double load(String endpointId);
}
