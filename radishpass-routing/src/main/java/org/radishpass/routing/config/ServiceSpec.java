package org.radishpass.routing.config;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A service: endpoints that answer the same requests.
 *
 * @param name its name
 * @param healthPath the path that tells of an endpoint's health
 * @param maxConnections the connections that one endpoint accepts from all routers together
 * @param engineSpec what its engines can take, or null for a plain service
 * @since 0.2.0
 */
public record ServiceSpec(
        String name,
        String healthPath,
        int maxConnections,
        @Nullable EngineSpec engineSpec) {
    /** Returns what its engines can take; empty for a plain service. */
    public Optional<EngineSpec> engine() {
        return Optional.ofNullable(engineSpec);
    }
}
