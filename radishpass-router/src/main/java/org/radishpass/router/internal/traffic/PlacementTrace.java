package org.radishpass.router.internal.traffic;

/**
 * Is told how a request's endpoint was chosen.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface PlacementTrace {
    /**
     * Learns of an endpoint that was asked.
     *
     * @param endpointId the endpoint
     * @param offer what came of it
     */
    void asked(String endpointId, SlotOffer offer);
}
