package org.radishpass.core.converge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.core.placement.Rendezvous;

/**
 * Assigns the engines of a data centre to models.
 *
 * <p>The plan depends only on the demands and on the set of engines, not on their order. Controllers that manage the
 * same engines therefore compute the same plan without exchanging messages. The engines of a model are chosen by
 * rendezvous hashing, so adding or removing an engine changes few other assignments.
 *
 * @since 0.1.0
 */
public final class CapacityPlan {
    private CapacityPlan() {
        // static methods only
    }

    /**
     * Returns the desired state of each engine, by the engine's id.
     *
     * @param demands the capacity declared for each model
     * @param engines the ids of the available engines
     */
    public static Map<String, DesiredEndpointState> of(Collection<Demand> demands, Collection<String> engines) {
        List<String> free = new ArrayList<>(engines);
        Map<String, DesiredEndpointState> desiredStates = new HashMap<>();
        List<Demand> ordered =
                demands.stream().sorted(Comparator.comparing(Demand::model)).toList();
        for (Demand demand : ordered) {
            takeHighestScored(free, demand.model(), demand.ready())
                    .forEach(id -> desiredStates.put(id, new DesiredEndpointState(true, demand.pools())));
        }
        for (Demand demand : ordered) {
            takeHighestScored(free, demand.model(), demand.asleep())
                    .forEach(id -> desiredStates.put(id, DesiredEndpointState.ASLEEP));
        }
        free.forEach(id -> desiredStates.put(id, DesiredEndpointState.IDLE));
        return desiredStates;
    }

    private static List<String> takeHighestScored(List<String> free, String model, int count) {
        long modelHash = Rendezvous.hash(model);
        List<String> taken = free.stream()
                .sorted(Comparator.comparingDouble(id -> -Rendezvous.score(modelHash, Rendezvous.hash(id), 1)))
                .limit(count)
                .toList();
        free.removeAll(taken);
        return taken;
    }

    /**
     * The number of engines that a model is to have.
     *
     * @param model the model
     * @param pools the pools that an engine with this model serves
     * @param ready the number of engines that have the model loaded
     * @param asleep the number of sleeping engines kept as spares for the model
     * @since 0.1.0
     */
    public record Demand(String model, List<String> pools, int ready, int asleep) {
        /** Makes a copy of the list of pools. */
        public Demand {
            pools = List.copyOf(pools);
        }
    }
}
