package org.radishpass.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * The endpoints of a simulation, with the list of them that all routers see. A change of the list reaches every router
 * at once.
 */
final class Fleet {
    private static final int PORT = 1;

    private final Map<String, SimulatedEndpoint> simulatedEndpoints = new HashMap<>();
    private final List<ServiceEndpoint> listed = new ArrayList<>();
    private int addedEndpoints;

    /**
     * Adds an endpoint to the list.
     *
     * @param service the service that the endpoint belongs to
     * @param slots the requests that the endpoint runs at once
     * @param simulated the simulated endpoint that processes the requests
     */
    void add(String service, int slots, SimulatedEndpoint simulated) {
        String id = service + "-" + addedEndpoints++;
        simulatedEndpoints.put(id, simulated);
        listed.add(new ServiceEndpoint(
                id, service, new Address("10.0.0." + addedEndpoints, PORT), new DataCentre("dc"), slots, false));
    }

    /** Marks an endpoint as leaving: the endpoint gets no new requests and finishes those that it has. */
    void markLeaving(ServiceEndpoint endpoint) {
        listed.replaceAll(each -> each.id().equals(endpoint.id()) ? each.asLeaving() : each);
    }

    /** Removes an endpoint from the list. Runs that the endpoint has still end. */
    void remove(ServiceEndpoint endpoint) {
        listed.removeIf(each -> each.id().equals(endpoint.id()));
    }

    /** Returns the endpoints of a service that are not leaving. */
    List<ServiceEndpoint> acceptingEndpoints(String service) {
        return listed.stream()
                .filter(each -> each.service().equals(service) && !each.leaving())
                .toList();
    }

    /** Returns all endpoints of a service, including those that are leaving. */
    List<ServiceEndpoint> endpoints(String service) {
        return listed.stream().filter(each -> each.service().equals(service)).toList();
    }

    /** Returns all endpoints of all services, including those that are leaving. */
    List<ServiceEndpoint> endpoints() {
        return List.copyOf(listed);
    }

    /** Returns the mean number of running and waiting runs per endpoint of a service that is not leaving. */
    double meanLoad(String service) {
        return acceptingEndpoints(service).stream()
                .mapToInt(endpoint -> simulatedEndpoint(endpoint).load())
                .average()
                .orElse(0);
    }

    /** Returns the simulated endpoint that belongs to an entry of the list. */
    SimulatedEndpoint simulatedEndpoint(ServiceEndpoint endpoint) {
        return Objects.requireNonNull(simulatedEndpoints.get(endpoint.id()), endpoint.id());
    }
}
