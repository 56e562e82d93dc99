package org.radishpass.controller.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.radishpass.core.fleet.EndpointState;

/**
 * What an engine says of itself.
 *
 * @param state the stage of its life
 * @param pools the pools that it serves
 * @param running the requests that it runs
 * @since 0.1.0
 */
record EngineStatus(EndpointState state, Set<String> pools, int running) {
    static EngineStatus of(JsonNode json) {
        Set<String> pools = new HashSet<>();
        json.path("pools").forEach(pool -> pools.add(pool.asText()));
        return new EngineStatus(
                state(json.path("state").asText()), pools, json.path("running").asInt());
    }

    private static EndpointState state(String name) {
        for (EndpointState state : EndpointState.values()) {
            if (state.name().equals(name.toUpperCase(Locale.ROOT))) {
                return state;
            }
        }
        return EndpointState.JOINING;
    }
}
