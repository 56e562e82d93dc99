package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * A list of endpoints with the reading that it rests on, as routers give it to each other.
 *
 * @param reading the reading
 * @param endpoints the endpoints, those that leave included
 */
record EndpointSnapshot(ListReading reading, List<ServiceEndpoint> endpoints) {}
