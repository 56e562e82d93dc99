package org.radishpass.routing.traffic;

import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Receives notifications about endpoints that follow from their responses, and that the store may report later or
 * never. Called on the traffic event loop.
 *
 * @since 0.6.0
 */
public interface EndpointListener {
    /** A listener that ignores all notifications. */
    EndpointListener NONE = new EndpointListener() {
        @Override
        public void addressTakenOver(ServiceEndpoint endpoint) {
            // ignored
        }

        @Override
        public void endpointLeaving(ServiceEndpoint endpoint) {
            // ignored
        }
    };

    /**
     * Called when another process has taken over the address of the endpoint.
     *
     * @param endpoint the endpoint that no longer exists
     */
    void addressTakenOver(ServiceEndpoint endpoint);

    /**
     * Called when the endpoint has stated in a response that it is leaving.
     *
     * @param endpoint the endpoint
     */
    void endpointLeaving(ServiceEndpoint endpoint);
}
