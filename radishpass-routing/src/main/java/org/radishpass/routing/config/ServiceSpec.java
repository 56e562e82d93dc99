package org.radishpass.routing.config;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Describes a service: a group of endpoints that handle the same requests.
 *
 * @param name the name of the service
 * @param healthPath the path of an endpoint's health check
 * @param maxConnections the number of connections that one endpoint accepts from all routers together
 * @param engineSpec the capacity of each model engine, or null for a plain service, which has no engines
 * @param coldStartSpec the warm-up of the endpoints, or null if they have their full capacity from the start
 * @since 0.2.0
 */
public record ServiceSpec(
        String name,
        String healthPath,
        int maxConnections,
        @Nullable EngineSpec engineSpec,
        @Nullable ColdStart coldStartSpec) {
    /** Creates a service whose endpoints need no warm-up. */
    public ServiceSpec(String name, String healthPath, int maxConnections, @Nullable EngineSpec engineSpec) {
        this(name, healthPath, maxConnections, engineSpec, null);
    }

    /** Returns the capacity of each model engine; empty for a plain service. */
    public Optional<EngineSpec> engine() {
        return Optional.ofNullable(engineSpec);
    }

    /** Returns the warm-up of the endpoints; empty if they have their full capacity from the start. */
    public Optional<ColdStart> coldStart() {
        return Optional.ofNullable(coldStartSpec);
    }
}
