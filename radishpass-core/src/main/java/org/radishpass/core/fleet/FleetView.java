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
 * An immutable picture of the fleet: its routers and its endpoints, indexed by pool.
 *
 * @since 0.1.0
 */
public final class FleetView {
    private static final FleetView EMPTY = new FleetView(List.of(), List.of());

    private final Map<String, Vm> vms;
    private final Map<String, Endpoint> endpoints;
    private final Map<String, List<Endpoint>> openByPool;

    private FleetView(Collection<Vm> vms, Collection<Endpoint> endpoints) {
        Map<String, Vm> vmsById = new HashMap<>();
        vms.forEach(vm -> vmsById.put(vm.id(), vm));
        Map<String, Endpoint> endpointsById = new HashMap<>();
        Map<String, List<Endpoint>> pools = new HashMap<>();
        endpoints.stream().sorted(Comparator.comparing(Endpoint::id)).forEach(endpoint -> {
            endpointsById.put(endpoint.id(), endpoint);
            if (endpoint.state().takesWork()) {
                endpoint.pools()
                        .forEach(pool -> pools.computeIfAbsent(pool, name -> new ArrayList<>())
                                .add(endpoint));
            }
        });
        this.vms = Map.copyOf(vmsById);
        this.endpoints = Map.copyOf(endpointsById);
        pools.replaceAll((pool, members) -> EndpointList.of(members));
        this.openByPool = Map.copyOf(pools);
    }

    /** Returns a picture with nothing in it. */
    public static FleetView empty() {
        return EMPTY;
    }

    /**
     * Returns a picture of these routers and endpoints.
     *
     * @param vms the routers' machines
     * @param endpoints the endpoints in any state
     */
    public static FleetView of(Collection<Vm> vms, Collection<Endpoint> endpoints) {
        return new FleetView(vms, endpoints);
    }

    /** Returns the routers' machines. */
    public Collection<Vm> vms() {
        return vms.values();
    }

    /**
     * Returns one machine.
     *
     * @param id its identity
     */
    public Optional<Vm> vm(String id) {
        return Optional.ofNullable(vms.get(id));
    }

    /** Returns the endpoints, in any state. */
    public Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    /**
     * Returns one endpoint.
     *
     * @param id its identity
     */
    public Optional<Endpoint> endpoint(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /**
     * Returns the endpoints open to new work of a pool, ordered by identity.
     *
     * @param pool the pool's name
     */
    public List<Endpoint> open(String pool) {
        return openByPool.getOrDefault(pool, List.of());
    }

    /** Returns the names of the pools that some endpoint is open to. */
    public Set<String> openPools() {
        return openByPool.keySet();
    }
}
