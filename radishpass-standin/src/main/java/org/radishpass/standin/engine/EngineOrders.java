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
 * Carries out orders: load and unload, wake and sleep, role, drain.
 *
 * @since 0.1.0
 */
final class EngineOrders {
    private static final int OK = 200;
    private static final int BAD = 400;
    private static final int OLD = 409;
    private static final Duration WAKE_TIME = Duration.ofMillis(800);

    private final Set<String> pools = new ConcurrentSkipListSet<>();
    private final List<Map<String, Object>> ledger = new ArrayList<>();
    private final boolean checks;
    private final WeightStoreStandIn weights;
    private final PrefixCache cache;
    private long highestEpoch;
    private volatile String state = "READY";
    private volatile String role = "any";

    EngineOrders(boolean checks, WeightStoreStandIn weights, PrefixCache cache) {
        this.checks = checks;
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

    synchronized List<Map<String, Object>> ledger() {
        return List.copyOf(ledger);
    }

    /** Carries out an order and returns the HTTP status. */
    Mono<Integer> carryOut(JsonNode order) {
        long epoch = order.path("epoch").asLong();
        if (!accept(epoch, order)) {
            return Mono.just(OLD);
        }
        String pool = order.path("pool").asText();
        return switch (order.path("type").asText()) {
            case "load" -> load(pool);
            case "unload" -> now(() -> pools.remove(pool));
            case "wake" -> wake();
            case "sleep" ->
                now(() -> {
                    state = "ASLEEP";
                    cache.clear();
                });
            case "role" -> now(() -> role = order.path("role").asText());
            case "drain" -> now(() -> state = "LEAVING");
            default -> Mono.just(BAD);
        };
    }

    private synchronized boolean accept(long epoch, JsonNode order) {
        boolean accepted = !checks || epoch >= highestEpoch;
        highestEpoch = Math.max(highestEpoch, epoch);
        ledger.add(Map.of(
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
        return Mono.delay(weights.read(System.nanoTime())).map(tick -> {
            pools.add(pool);
            return OK;
        });
    }

    private Mono<Integer> wake() {
        if (!"ASLEEP".equals(state)) {
            return Mono.just(OK);
        }
        return Mono.delay(WAKE_TIME).map(tick -> {
            state = "READY";
            return OK;
        });
    }

    private static Mono<Integer> now(Runnable change) {
        return Mono.fromCallable(() -> {
            change.run();
            return OK;
        });
    }
}
