package org.radishpass.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An immutable snapshot of the fleet: its routers, and its endpoints indexed by pool.
 *
 * @since 0.1.0
 */
public final class FleetView {
    private static final FleetView EMPTY = new FleetView(List.of(), List.of());

    private final Map<String, Vm> vms;
    private final Map<String, Endpoint> endpoints;
    private final Map<String, List<Endpoint>> acceptingByPool;

    private FleetView(Collection<Vm> vms, Collection<Endpoint> endpoints) {
        Map<String, Vm> vmsById = new HashMap<>();
        vms.forEach(vm -> vmsById.put(vm.id(), vm));
        Map<String, Endpoint> endpointsById = new HashMap<>();
        Map<String, List<Endpoint>> pools = new HashMap<>();
        endpoints.stream().sorted(Comparator.comparing(Endpoint::id)).forEach(endpoint -> {
            endpointsById.put(endpoint.id(), endpoint);
            if (endpoint.state().acceptsNewRequests()) {
                endpoint.pools()
                        .forEach(pool -> pools.computeIfAbsent(pool, name -> new ArrayList<>())
                                .add(endpoint));
            }
        });
        this.vms = Map.copyOf(vmsById);
        this.endpoints = Map.copyOf(endpointsById);
        pools.replaceAll((pool, members) -> EndpointList.of(members));
        this.acceptingByPool = Map.copyOf(pools);
    }

    /** Returns a snapshot without routers and endpoints. */
    public static FleetView empty() {
        return EMPTY;
    }

    /**
     * Returns a snapshot of these routers and endpoints.
     *
     * @param vms the machines that run routers
     * @param endpoints the endpoints, in any state
     */
    public static FleetView of(Collection<Vm> vms, Collection<Endpoint> endpoints) {
        return new FleetView(vms, endpoints);
    }

    /** Returns the machines that run routers. */
    public Collection<Vm> vms() {
        return vms.values();
    }

    /**
     * Returns a machine that runs a router, or empty if it is not in this snapshot.
     *
     * @param id the id of the machine
     */
    public Optional<Vm> vm(String id) {
        return Optional.ofNullable(vms.get(id));
    }

    /** Returns all endpoints, in any state. */
    public Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    /**
     * Returns an endpoint, in any state, or empty if it is not in this snapshot.
     *
     * @param id the id of the endpoint
     */
    public Optional<Endpoint> endpoint(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /**
     * Returns the endpoints that accept new requests of a pool, ordered by id.
     *
     * @param pool the name of the pool
     */
    public List<Endpoint> acceptingEndpoints(String pool) {
        return acceptingByPool.getOrDefault(pool, List.of());
    }

    /** Returns the names of the pools for which at least one endpoint accepts new requests. */
    public Set<String> acceptingPools() {
        return acceptingByPool.keySet();
    }
}
