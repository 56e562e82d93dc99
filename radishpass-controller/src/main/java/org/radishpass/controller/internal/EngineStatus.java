package org.radishpass.controller.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.radishpass.core.fleet.EndpointState;

/**
 * The status that an engine reports.
 *
 * @param state the lifecycle state; {@code JOINING} if the engine reports an unknown one
 * @param pools the pools that the engine serves
 * @param running the number of requests in progress
 * @since 0.1.0
 */
record EngineStatus(EndpointState state, Set<String> pools, int running) {
    static EngineStatus of(JsonNode json) {
        Set<String> pools = new HashSet<>();
        json.path("pools").forEach(pool -> pools.add(pool.asText()));
        return new EngineStatus(
                parseState(json.path("state").asText()),
                pools,
                json.path("running").asInt());
    }

    private static EndpointState parseState(String name) {
        for (EndpointState state : EndpointState.values()) {
            if (state.name().equals(name.toUpperCase(Locale.ROOT))) {
                return state;
            }
        }
        return EndpointState.JOINING;
    }
}
