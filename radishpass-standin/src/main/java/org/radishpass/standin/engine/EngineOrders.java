package org.radishpass.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import org.radishpass.standin.platform.WeightStoreStandIn;
import reactor.core.publisher.Mono;

/**
 * Executes a controller's orders to an engine: load, unload, wake, sleep, role and drain.
 *
 * @since 0.1.0
 */
final class EngineOrders {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final Duration WAKE_DURATION = Duration.ofMillis(800);

    private final Set<String> pools = new ConcurrentSkipListSet<>();
    private final List<Map<String, Object>> receivedOrders = new ArrayList<>();
    private final boolean rejectsStaleOrders;
    private final WeightStoreStandIn weights;
    private final PrefixCache cache;
    private long highestEpoch;
    private volatile String state = "READY";
    private volatile String role = "any";

    EngineOrders(boolean rejectsStaleOrders, WeightStoreStandIn weights, PrefixCache cache) {
        this.rejectsStaleOrders = rejectsStaleOrders;
        this.weights = weights;
        this.cache = cache;
    }

    Set<String> pools() {
        return pools;
    }

    String state() {
        return state;
    }

    String role() {
        return role;
    }

    synchronized List<Map<String, Object>> receivedOrders() {
        return List.copyOf(receivedOrders);
    }

    /** Executes an order and returns the HTTP status of the response. */
    Mono<Integer> execute(JsonNode order) {
        long epoch = order.path("epoch").asLong();
        if (!recordOrder(epoch, order)) {
            return Mono.just(CONFLICT);
        }
        String pool = order.path("pool").asText();
        return switch (order.path("type").asText()) {
            case "load" -> load(pool);
            case "unload" -> apply(() -> pools.remove(pool));
            case "wake" -> wake();
            case "sleep" ->
                apply(() -> {
                    state = "ASLEEP";
                    cache.clear();
                });
            case "role" -> apply(() -> role = order.path("role").asText());
            case "drain" -> apply(() -> state = "LEAVING");
            default -> Mono.just(BAD_REQUEST);
        };
    }

    /** Records an order and returns whether the order is accepted, which depends on its epoch. */
    private synchronized boolean recordOrder(long epoch, JsonNode order) {
        boolean accepted = !rejectsStaleOrders || epoch >= highestEpoch;
        highestEpoch = Math.max(highestEpoch, epoch);
        receivedOrders.add(Map.of(
                "type",
                order.path("type").asText(),
                "pool",
                order.path("pool").asText(),
                "epoch",
                epoch,
                "revision",
                order.path("revision").asLong(),
                "accepted",
                accepted));
        return accepted;
    }

    private Mono<Integer> load(String pool) {
        if (pools.contains(pool)) {
            return Mono.just(OK);
        }
        return Mono.delay(weights.enqueueRead(System.nanoTime())).map(tick -> {
            pools.add(pool);
            return OK;
        });
    }

    private Mono<Integer> wake() {
        if (!"ASLEEP".equals(state)) {
            return Mono.just(OK);
        }
        return Mono.delay(WAKE_DURATION).map(tick -> {
            state = "READY";
            return OK;
        });
    }

    private static Mono<Integer> apply(Runnable change) {
        return Mono.fromCallable(() -> {
            change.run();
            return OK;
        });
    }
}
