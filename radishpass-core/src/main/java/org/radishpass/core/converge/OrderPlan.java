package org.radishpass.core.converge;

import java.util.Optional;
import java.util.Set;
import org.radishpass.core.fleet.EndpointState;

/**
 * Chooses the next order to an endpoint from what it is to do and what it does.
 *
 * <p>It goes by level: the same two states always give the same order, however they came about. A new version is loaded
 * before an old one is given up, so that service has no gap.
 *
 * @since 0.1.0
 */
public final class OrderPlan {
    private OrderPlan() {
        // static methods only
    }

    /**
     * Returns the next order, if one is needed.
     *
     * @param goal what it is to do
     * @param state the stage of its life
     * @param pools the pools that it serves
     * @param running the requests that it runs
     */
    public static Optional<Order> next(EndpointGoal goal, EndpointState state, Set<String> pools, int running) {
        if (state == EndpointState.LEAVING || state == EndpointState.SUSPECT) {
            return Optional.empty();
        }
        if (!goal.awake()) {
            return toSleep(state, pools, running);
        }
        if (state == EndpointState.ASLEEP) {
            return Optional.of(Order.of(OrderType.WAKE));
        }
        Optional<Order> load = goal.pools().stream()
                .filter(pool -> !pools.contains(pool))
                .findFirst()
                .map(pool -> new Order(OrderType.LOAD, pool));
        return load.isPresent() ? load : unload(goal, pools);
    }

    private static Optional<Order> toSleep(EndpointState state, Set<String> pools, int running) {
        if (state == EndpointState.ASLEEP) {
            return Optional.empty();
        }
        if (!pools.isEmpty()) {
            return pools.stream().sorted().findFirst().map(pool -> new Order(OrderType.UNLOAD, pool));
        }
        return running > 0 ? Optional.empty() : Optional.of(Order.of(OrderType.SLEEP));
    }

    private static Optional<Order> unload(EndpointGoal goal, Set<String> pools) {
        return pools.stream()
                .filter(pool -> !goal.pools().contains(pool))
                .sorted()
                .findFirst()
                .map(pool -> new Order(OrderType.UNLOAD, pool));
    }
}
