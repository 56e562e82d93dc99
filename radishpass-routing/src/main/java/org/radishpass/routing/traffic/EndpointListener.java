package org.radishpass.routing.traffic;

import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Hears what answers tell of endpoints that the store may tell later, or never. Called on the traffic thread.
 *
 * @since 0.6.0
 */
public interface EndpointListener {
    /** Hears nothing. */
    EndpointListener NONE = new EndpointListener() {
        @Override
        public void gone(ServiceEndpoint endpoint) {
            // nobody to tell
        }

        @Override
        public void leaving(ServiceEndpoint endpoint) {
            // nobody to tell
        }
    };

    /**
     * Another start has taken the endpoint's address.
     *
     * @param endpoint the endpoint
     */
    void gone(ServiceEndpoint endpoint);

    /**
     * The endpoint has stated that it is leaving.
     *
     * @param endpoint the endpoint
     */
    void leaving(ServiceEndpoint endpoint);
}
