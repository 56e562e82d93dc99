package org.radishpass.controller.internal;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.radishpass.core.converge.CapacityPlan;
import org.radishpass.core.converge.DesiredEndpointState;
import org.radishpass.core.converge.Order;
import org.radishpass.core.converge.OrderPlan;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.VmKind;
import org.radishpass.core.fleet.VmListing;
import org.radishpass.records.Configuration;
import org.radishpass.records.ModelSpec;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares the engines of the held shares with the configuration records and sends orders to engines that diverge.
 *
 * <p>At most one order to an engine is in progress at a time. Instances are confined to the control thread.
 *
 * @since 0.1.0
 */
final class EngineReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(EngineReconciler.class);
    private static final int MAX_HISTORY_ENTRIES = 500;

    private final Map<String, Divergence> divergences = new HashMap<>();
    private final Set<String> enginesWithPendingCall = new HashSet<>();
    private final Deque<Map<String, Object>> history = new ArrayDeque<>();
    private final DataCentre dataCentre;
    private final ShareLeases leases;
    private final EngineClient engines;
    private final ControlThread control;
    private final MeterRegistry metrics;
    private final Clock clock;

    EngineReconciler(
            DataCentre dataCentre,
            ShareLeases leases,
            EngineClient engines,
            ControlThread control,
            MeterRegistry metrics,
            Clock clock) {
        this.dataCentre = dataCentre;
        this.leases = leases;
        this.engines = engines;
        this.control = control;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** Starts a check of each engine in the held shares, and sends an order to each engine that needs one. */
    void reconcile(Configuration configuration, Collection<VmListing> listings) {
        List<VmListing> ownEngines = listings.stream()
                .filter(vm -> vm.kind() == VmKind.ENGINE && vm.dataCentre().equals(dataCentre))
                .filter(vm -> !vm.leaving())
                .toList();
        if (configuration.revision() == 0 || ownEngines.isEmpty()) {
            return;
        }
        Map<String, DesiredEndpointState> desiredStates = CapacityPlan.of(
                demands(configuration), ownEngines.stream().map(VmListing::id).toList());
        divergences.keySet().retainAll(desiredStates.keySet());
        for (VmListing engine : ownEngines) {
            DesiredEndpointState desired = desiredStates.get(engine.id());
            if (desired != null
                    && leases.epochFor(engine.id()).isPresent()
                    && !enginesWithPendingCall.contains(engine.id())) {
                checkEngine(configuration, engine, desired);
            }
        }
    }

    /** Returns the endpoint, cause and action of each engine that diverges from the records. */
    List<Map<String, Object>> divergences() {
        List<Map<String, Object>> entries = new ArrayList<>();
        divergences.forEach((id, divergence) ->
                entries.add(Map.of("endpoint", id, "cause", divergence.cause(), "action", divergence.action())));
        return entries;
    }

    /** Returns the most recent orders, newest first. */
    List<Map<String, Object>> history() {
        return List.copyOf(history);
    }

    private void checkEngine(Configuration configuration, VmListing engine, DesiredEndpointState desired) {
        enginesWithPendingCall.add(engine.id());
        engines.status(engine)
                .publishOn(control.scheduler())
                .subscribe(status -> sendNextOrder(configuration, engine, desired, status), error -> {
                    enginesWithPendingCall.remove(engine.id());
                    divergences.put(
                            engine.id(), new Divergence("it does not answer: " + error.getMessage(), "asking again"));
                });
    }

    private void sendNextOrder(
            Configuration configuration, VmListing engine, DesiredEndpointState desired, EngineStatus status) {
        var nextOrder = OrderPlan.next(desired, status.state(), status.pools(), status.running());
        OptionalLong epoch = leases.epochFor(engine.id());
        if (nextOrder.isEmpty() || epoch.isEmpty()) {
            enginesWithPendingCall.remove(engine.id());
            if (nextOrder.isEmpty()) {
                divergences.remove(engine.id());
            }
            return;
        }
        Order order = nextOrder.get();
        divergences.put(
                engine.id(),
                new Divergence(
                        "it serves " + status.pools() + " and is " + status.state(),
                        order.type().wireName() + ' ' + order.pool()));
        engines.sendOrder(
                        engine,
                        order,
                        epoch.getAsLong(),
                        configuration.revision(),
                        () -> leases.epochFor(engine.id()).equals(epoch))
                .publishOn(control.scheduler())
                .subscribe(
                        code -> recordOutcome(configuration, engine, order, epoch.getAsLong(), "done"),
                        error -> recordOutcome(
                                configuration, engine, order, epoch.getAsLong(), String.valueOf(error.getMessage())));
    }

    private void recordOutcome(Configuration configuration, VmListing engine, Order order, long epoch, String outcome) {
        enginesWithPendingCall.remove(engine.id());
        metrics.counter(
                        "radishpass.orders",
                        "type",
                        order.type().wireName(),
                        "done",
                        String.valueOf("done".equals(outcome)))
                .increment();
        LOG.info("order {} (pool '{}') for engine {} ended with: {}", order.type(), order.pool(), engine.id(), outcome);
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("at", clock.instant().toString());
        entry.put("endpoint", engine.id());
        entry.put("type", order.type().wireName());
        entry.put("pool", order.pool());
        entry.put("revision", configuration.revision());
        entry.put("epoch", epoch);
        entry.put("outcome", outcome);
        history.addFirst(entry);
        if (history.size() > MAX_HISTORY_ENTRIES) {
            history.removeLast();
        }
    }

    private static List<CapacityPlan.Demand> demands(Configuration configuration) {
        List<CapacityPlan.Demand> demands = new ArrayList<>();
        configuration
                .capacities()
                .forEach(capacity -> configuration
                        .model(capacity.model())
                        .map(ModelSpec::pools)
                        .ifPresent(pools -> demands.add(new CapacityPlan.Demand(
                                capacity.model(), pools, capacity.ready(), capacity.asleep()))));
        return demands;
    }

    private record Divergence(String cause, String action) {}
}
