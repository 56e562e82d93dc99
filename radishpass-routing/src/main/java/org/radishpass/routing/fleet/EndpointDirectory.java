package org.radishpass.routing.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The endpoints known at one moment, immutable.
 *
 * @since 0.2.0
 */
public final class EndpointDirectory {
    /** No endpoints. */
    public static final EndpointDirectory EMPTY = new EndpointDirectory(List.of());

    private final Map<String, ServiceEndpoint> byId = new HashMap<>();
    private final Map<String, List<ServiceEndpoint>> openByService = new HashMap<>();
    private final Map<String, List<ServiceEndpoint>> allByService = new HashMap<>();

    /**
     * Creates a directory.
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
                openByService
                        .computeIfAbsent(endpoint.service(), service -> new ArrayList<>())
                        .add(endpoint);
            }
        }
    }

    /** Returns all endpoints, those that leave included. */
    public Collection<ServiceEndpoint> all() {
        return byId.values();
    }

    /** Returns the number of endpoints, those that leave included. */
    public int size() {
        return byId.size();
    }

    /**
     * Returns the endpoints of a service that take new work.
     *
     * @param service the service
     */
    public List<ServiceEndpoint> open(String service) {
        return openByService.getOrDefault(service, List.of());
    }

    /**
     * Returns the endpoints of a service, those that leave included.
     *
     * @param service the service
     */
    public List<ServiceEndpoint> all(String service) {
        return allByService.getOrDefault(service, List.of());
    }

    /**
     * Finds an endpoint.
     *
     * @param id its id
     */
    public Optional<ServiceEndpoint> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }
}
