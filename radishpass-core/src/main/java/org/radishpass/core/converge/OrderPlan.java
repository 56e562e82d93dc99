package org.radishpass.core.converge;

import java.util.Optional;
import java.util.Set;
import org.radishpass.core.fleet.EndpointState;

/**
 * Chooses the next order to an endpoint by comparing its desired state with its current state.
 *
 * <p>The choice depends only on these two states and not on the events that led to them. A new version is loaded before
 * the old one is unloaded, so that the endpoint serves requests without interruption.
 *
 * @since 0.1.0
 */
public final class OrderPlan {
    private OrderPlan() {
        // static methods only
    }

    /**
     * Returns the next order, or empty if the endpoint needs none now.
     *
     * @param desired the desired state of the endpoint
     * @param state the current lifecycle state of the endpoint
     * @param pools the pools that the endpoint serves now
     * @param running the number of requests in progress at the endpoint
     */
    public static Optional<Order> next(
            DesiredEndpointState desired, EndpointState state, Set<String> pools, int running) {
        if (state == EndpointState.LEAVING || state == EndpointState.SUSPECT) {
            return Optional.empty();
        }
        if (!desired.awake()) {
            return nextTowardsSleep(state, pools, running);
        }
        if (state == EndpointState.ASLEEP) {
            return Optional.of(Order.of(OrderType.WAKE));
        }
        Optional<Order> load = desired.pools().stream()
                .filter(pool -> !pools.contains(pool))
                .findFirst()
                .map(pool -> new Order(OrderType.LOAD, pool));
        return load.isPresent() ? load : unloadSurplusPool(desired, pools);
    }

    private static Optional<Order> nextTowardsSleep(EndpointState state, Set<String> pools, int running) {
        if (state == EndpointState.ASLEEP) {
            return Optional.empty();
        }
        if (!pools.isEmpty()) {
            return pools.stream().sorted().findFirst().map(pool -> new Order(OrderType.UNLOAD, pool));
        }
        return running > 0 ? Optional.empty() : Optional.of(Order.of(OrderType.SLEEP));
    }

    private static Optional<Order> unloadSurplusPool(DesiredEndpointState desired, Set<String> pools) {
        return pools.stream()
                .filter(pool -> !desired.pools().contains(pool))
                .sorted()
                .findFirst()
                .map(pool -> new Order(OrderType.UNLOAD, pool));
    }
}
