package org.radishpass.core.converge;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.EndpointState;

/** Checks the assignment of engines to models and the orders that bring an engine to its desired state. */
final class ConvergeTest {
    private static final DesiredEndpointState NEW_VERSION = new DesiredEndpointState(true, List.of("m@2", "m:a@2"));

    @Test
    void aNewVersionIsLoadedBeforeTheOldOneIsUnloaded() {
        Set<String> pools = new HashSet<>(Set.of("m@1", "m:a@1"));
        List<String> orders = new ArrayList<>();
        Optional<Order> next = OrderPlan.next(NEW_VERSION, EndpointState.READY, pools, 3);
        while (next.isPresent()) {
            Order order = next.get();
            orders.add(order.type() + " " + order.pool());
            if (order.type() == OrderType.LOAD) {
                pools.add(order.pool());
            } else {
                pools.remove(order.pool());
            }
            next = OrderPlan.next(NEW_VERSION, EndpointState.READY, pools, 3);
        }

        assertThat(orders)
                .containsExactly("LOAD m@2", "LOAD m:a@2", "UNLOAD m:a@1", "UNLOAD m@1")
                .inOrder();
    }

    @Test
    void anEngineIsPutToSleepOnlyAfterItsLastRequestHasEnded() {
        assertThat(OrderPlan.next(DesiredEndpointState.ASLEEP, EndpointState.READY, Set.of(), 1))
                .isEmpty();
        assertThat(OrderPlan.next(DesiredEndpointState.ASLEEP, EndpointState.READY, Set.of(), 0))
                .hasValue(new Order(OrderType.SLEEP, ""));
    }

    @Test
    void aLeavingEngineGetsNoOrders() {
        assertThat(OrderPlan.next(NEW_VERSION, EndpointState.LEAVING, Set.of(), 0))
                .isEmpty();
    }

    @Test
    void aSleepingEngineIsWokenBeforeItLoadsPools() {
        assertThat(OrderPlan.next(NEW_VERSION, EndpointState.ASLEEP, Set.of(), 0))
                .hasValue(new Order(OrderType.WAKE, ""));
    }

    @Property(tries = 100, seed = "49")
    void thePlanDoesNotDependOnTheOrderOfTheEngines(@ForAll @IntRange(min = 1, max = 30) int count) {
        List<String> engines = engines(count);
        List<String> reversed = new ArrayList<>(engines);
        java.util.Collections.reverse(reversed);

        assertThat(CapacityPlan.of(demands(), reversed)).isEqualTo(CapacityPlan.of(demands(), engines));
    }

    @Property(tries = 100, seed = "50")
    void eachModelGetsItsDemandIfThereAreEnoughEngines(@ForAll @IntRange(min = 7, max = 30) int count) {
        Map<String, DesiredEndpointState> plan = CapacityPlan.of(demands(), engines(count));

        assertThat(plan.values().stream()
                        .filter(desired -> desired.pools().contains("a@1"))
                        .count())
                .isEqualTo(3);
        assertThat(plan.values().stream()
                        .filter(desired -> desired.pools().contains("b@1"))
                        .count())
                .isEqualTo(2);
        assertThat(plan.values().stream().filter(desired -> !desired.awake()).count())
                .isEqualTo(2);
    }

    private static List<CapacityPlan.Demand> demands() {
        return List.of(
                new CapacityPlan.Demand("a", List.of("a@1"), 3, 1), new CapacityPlan.Demand("b", List.of("b@1"), 2, 1));
    }

    private static List<String> engines(int count) {
        List<String> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add("engine-" + i);
        }
        return engines;
    }
}
