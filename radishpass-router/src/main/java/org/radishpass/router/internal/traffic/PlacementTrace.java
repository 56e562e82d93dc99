package org.radishpass.router.internal.traffic;

/**
 * Receives the steps of choosing an endpoint for a request.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface PlacementTrace {
    /**
     * Called after each request for a slot.
     *
     * @param endpointId the id of the endpoint
     * @param result the result of the slot request
     */
    void onSlotResult(String endpointId, SlotResult result);
}
