package org.radishpass.routing.stream;

import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.SoftwareVersion;

/**
 * What began a stream: the service and the software version of the endpoint that sent its first event. Only endpoints of the
 * same origin may continue the stream.
 *
 * @param service the name of the service
 * @param version the software version
 * @since 0.10.0
 */
public record StreamOrigin(String service, SoftwareVersion version) {
    /** Returns the origin of a stream that an endpoint begins. */
    public static StreamOrigin of(ServiceEndpoint endpoint) {
        return new StreamOrigin(endpoint.service(), endpoint.softwareVersion());
    }

    /** Tells whether an endpoint may continue the stream. */
    public boolean continuableAt(ServiceEndpoint endpoint) {
        return service.equals(endpoint.service()) && version.sameAs(endpoint.softwareVersion());
    }

    @Override
    public String toString() {
        return service + " " + version;
    }
}
