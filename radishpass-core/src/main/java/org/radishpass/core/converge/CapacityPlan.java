package org.radishpass.core.converge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.core.placement.Rendezvous;

/**
 * Shares a data centre's engines out to models.
 *
 * <p>The same records and engines always give the same plan, so controllers that share the engines agree without
 * talking. An engine that comes or goes moves as few others as it can.
 *
 * @since 0.1.0
 */
public final class CapacityPlan {
    private CapacityPlan() {
        // static methods only
    }

    /**
     * Returns what each engine is to do.
     *
     * @param demands the declared capacities
     * @param engines the identities of the engines that are there
     */
    public static Map<String, EndpointGoal> of(Collection<Demand> demands, Collection<String> engines) {
        List<String> free = new ArrayList<>(engines);
        Map<String, EndpointGoal> goals = new HashMap<>();
        List<Demand> ordered =
                demands.stream().sorted(Comparator.comparing(Demand::model)).toList();
        for (Demand demand : ordered) {
            take(free, demand.model(), demand.ready())
                    .forEach(id -> goals.put(id, new EndpointGoal(true, demand.pools())));
        }
        for (Demand demand : ordered) {
            take(free, demand.model(), demand.asleep()).forEach(id -> goals.put(id, EndpointGoal.ASLEEP));
        }
        free.forEach(id -> goals.put(id, EndpointGoal.IDLE));
        return goals;
    }

    private static List<String> take(List<String> free, String model, int count) {
        long modelHash = Rendezvous.hash(model);
        List<String> best = free.stream()
                .sorted(Comparator.comparingDouble(id -> -Rendezvous.score(modelHash, Rendezvous.hash(id), 1)))
                .limit(count)
                .toList();
        free.removeAll(best);
        return best;
    }

    /**
     * How many engines a model is to have.
     *
     * @param model the model
     * @param pools the pools that a loaded engine serves
     * @param ready the engines that stand ready
     * @param asleep the engines that sleep
     * @since 0.1.0
     */
    public record Demand(String model, List<String> pools, int ready, int asleep) {
        /** Copies the pools. */
        public Demand {
            pools = List.copyOf(pools);
        }
    }
}
