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
 * Chooses the router that keeps the account of an endpoint or of a pool.
 *
 * <p>An endpoint is owned by a router of its data centre, or of any where that has none. Routers with the same list
 * choose alike. While lists differ two routers may each keep an account; the endpoint's own report then shows each the
 * other's grants as foreign load.
 *
 * @since 0.1.0
 */
public final class OwnerSelection {
    private OwnerSelection() {
        // static methods only
    }

    /**
     * Returns the router that adds up the load of a pool.
     *
     * @param pool the pool
     * @param vms the routers' machines
     */
    public static Optional<Vm> ofPool(String pool, Collection<Vm> vms) {
        return Candidates.of(vms).highestScored("pool " + pool);
    }

    /**
     * Returns the owner of each endpoint, by the endpoint's identity.
     *
     * @param endpoints the endpoints
     * @param vms the routers' machines
     */
    public static Map<String, Vm> ofAll(Collection<Endpoint> endpoints, Collection<Vm> vms) {
        Candidates everywhere = Candidates.of(vms);
        Map<DataCentre, Candidates> byPlace = new HashMap<>();
        Map<String, Vm> owners = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            Candidates near = byPlace.computeIfAbsent(
                    endpoint.dataCentre(),
                    place -> Candidates.of(vms.stream()
                            .filter(vm -> vm.dataCentre().equals(place))
                            .toList()));
            Candidates candidates = near.vms().isEmpty() ? everywhere : near;
            candidates.highestScored("endpoint " + endpoint.id()).ifPresent(owner -> owners.put(endpoint.id(), owner));
        }
        return Map.copyOf(owners);
    }

    /** Routers that may own something, with the hashes of their identities. */
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
