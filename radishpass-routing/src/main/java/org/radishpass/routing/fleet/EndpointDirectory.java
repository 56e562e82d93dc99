package org.radishpass.routing.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An immutable snapshot of the known endpoints, indexed by id and by service.
 *
 * @since 0.2.0
 */
public final class EndpointDirectory {
    /** A directory without endpoints. */
    public static final EndpointDirectory EMPTY = new EndpointDirectory(List.of());

    private final Map<String, ServiceEndpoint> byId = new HashMap<>();
    private final Map<String, List<ServiceEndpoint>> acceptingByService = new HashMap<>();
    private final Map<String, List<ServiceEndpoint>> allByService = new HashMap<>();

    /**
     * Creates a directory of the given endpoints.
     *
     * @param endpoints the endpoints
     */
    public EndpointDirectory(Collection<ServiceEndpoint> endpoints) {
        for (ServiceEndpoint endpoint : endpoints) {
            byId.put(endpoint.id(), endpoint);
            allByService
                    .computeIfAbsent(endpoint.service(), service -> new ArrayList<>())
                    .add(endpoint);
            if (!endpoint.leaving()) {
                acceptingByService
                        .computeIfAbsent(endpoint.service(), service -> new ArrayList<>())
                        .add(endpoint);
            }
        }
    }

    /** Returns all endpoints, including leaving endpoints. */
    public Collection<ServiceEndpoint> all() {
        return byId.values();
    }

    /** Returns the number of endpoints, including leaving endpoints. */
    public int size() {
        return byId.size();
    }

    /**
     * Returns the endpoints of a service that accept new requests, which excludes leaving endpoints.
     *
     * @param service the name of the service
     */
    public List<ServiceEndpoint> accepting(String service) {
        return acceptingByService.getOrDefault(service, List.of());
    }

    /**
     * Returns all endpoints of a service, including leaving endpoints.
     *
     * @param service the name of the service
     */
    public List<ServiceEndpoint> all(String service) {
        return allByService.getOrDefault(service, List.of());
    }

    /**
     * Returns the software version of an endpoint; unknown if the endpoint is not listed.
     *
     * @param endpointHash the hash of the endpoint's id
     * @since 0.11.0
     */
    public SoftwareVersion softwareVersion(long endpointHash) {
        return all().stream()
                .filter(endpoint -> endpoint.hash() == endpointHash)
                .findAny()
                .map(ServiceEndpoint::softwareVersion)
                .orElse(SoftwareVersion.UNKNOWN);
    }

    /**
     * Finds an endpoint by its id.
     *
     * @param id the id of the endpoint
     */
    public Optional<ServiceEndpoint> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }
}
