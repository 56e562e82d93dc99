package org.radishpass.core.load;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.placement.Rendezvous;

/**
 * Chooses the router that keeps the account of an endpoint or of a pool.
 *
 * <p>Routers with the same list choose alike. While lists differ two routers may each keep an account; the endpoint's
 * own report then shows each the other's grants as foreign load.
 *
 * @since 0.1.0
 */
public final class OwnerSelection {
    private OwnerSelection() {
        // static methods only
    }

    /**
     * Returns the owner of an endpoint: a router of its data centre, or of any where that has none.
     *
     * @param endpointId the endpoint
     * @param dataCentre where it stands
     * @param vms the routers' machines
     */
    public static Optional<Vm> ofEndpoint(String endpointId, DataCentre dataCentre, Collection<Vm> vms) {
        List<Vm> near =
                vms.stream().filter(vm -> vm.dataCentre().equals(dataCentre)).toList();
        Optional<Vm> owner = highest("endpoint " + endpointId, near);
        return owner.isPresent() ? owner : highest("endpoint " + endpointId, vms);
    }

    /**
     * Returns the router that adds up the load of a pool.
     *
     * @param pool the pool
     * @param vms the routers' machines
     */
    public static Optional<Vm> ofPool(String pool, Collection<Vm> vms) {
        return highest("pool " + pool, vms);
    }

    private static Optional<Vm> highest(String key, Collection<Vm> vms) {
        long keyHash = Rendezvous.hash(key);
        return vms.stream()
                .filter(vm -> !vm.leaving())
                .max(Comparator.comparingDouble(vm -> Rendezvous.score(keyHash, Rendezvous.hash(vm.id()), 1)));
    }
}
