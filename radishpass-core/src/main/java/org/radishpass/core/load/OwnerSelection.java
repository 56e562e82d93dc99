package org.radishpass.core.load;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.placement.Rendezvous;

/**
 * Chooses the owner of an endpoint or of a pool. The owner is the router that keeps the load account of the endpoint or
 * pool.
 *
 * <p>The owner of an endpoint is a router in the endpoint's data centre, or any router if that data centre has none. A
 * leaving router owns nothing. Routers with the same list of routers choose the same owner. While their lists differ,
 * two routers may each keep an account of the same endpoint. Each of them then learns of the slots that the other one
 * granted from the endpoint's own report, and counts them as foreign load.
 *
 * @since 0.1.0
 */
public final class OwnerSelection {
    private OwnerSelection() {
        // static methods only
    }

    /**
     * Returns the router that aggregates the load of a pool, or empty if no router is eligible.
     *
     * @param pool the name of the pool
     * @param vms the machines that run routers
     */
    public static Optional<Vm> poolOwner(String pool, Collection<Vm> vms) {
        return Candidates.of(vms).highestScored("pool " + pool);
    }

    /**
     * Returns the owner of each endpoint, by the endpoint's id. The map is empty if no router is eligible.
     *
     * @param endpoints the endpoints
     * @param vms the machines that run routers
     */
    public static Map<String, Vm> endpointOwners(Collection<Endpoint> endpoints, Collection<Vm> vms) {
        Candidates everywhere = Candidates.of(vms);
        Map<DataCentre, Candidates> byDataCentre = new HashMap<>();
        Map<String, Vm> owners = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            Candidates local = byDataCentre.computeIfAbsent(
                    endpoint.dataCentre(),
                    dataCentre -> Candidates.of(vms.stream()
                            .filter(vm -> vm.dataCentre().equals(dataCentre))
                            .toList()));
            Candidates candidates = local.vms().isEmpty() ? everywhere : local;
            candidates.highestScored("endpoint " + endpoint.id()).ifPresent(owner -> owners.put(endpoint.id(), owner));
        }
        return Map.copyOf(owners);
    }

    /** The routers that are eligible as owners, with the hashes of their ids. */
    private record Candidates(List<Vm> vms, long[] hashes) {
        private static Candidates of(Collection<Vm> vms) {
            List<Vm> staying = vms.stream().filter(vm -> !vm.leaving()).toList();
            long[] hashes =
                    staying.stream().mapToLong(vm -> Rendezvous.hash(vm.id())).toArray();
            return new Candidates(staying, hashes);
        }

        private Optional<Vm> highestScored(String key) {
            long keyHash = Rendezvous.hash(key);
            int best = -1;
            long bestScore = 0;
            for (int i = 0; i < hashes.length; i++) {
                long score = Rendezvous.mix(keyHash, hashes[i]);
                if (best < 0 || Long.compareUnsigned(score, bestScore) > 0) {
                    best = i;
                    bestScore = score;
                }
            }
            return best < 0 ? Optional.empty() : Optional.of(vms.get(best));
        }
    }
}
