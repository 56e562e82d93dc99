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
 * @param coldStartSpec what its endpoints bear shortly after their start, or null if that is no less than later
 * @since 0.2.0
 */
public record ServiceSpec(
        String name,
        String healthPath,
        int maxConnections,
        @Nullable EngineSpec engineSpec,
        @Nullable ColdStart coldStartSpec) {
    /** Creates a service whose endpoints bear the same from their start on. */
    public ServiceSpec(String name, String healthPath, int maxConnections, @Nullable EngineSpec engineSpec) {
        this(name, healthPath, maxConnections, engineSpec, null);
    }

    /** Returns what its engines can take; empty for a plain service. */
    public Optional<EngineSpec> engine() {
        return Optional.ofNullable(engineSpec);
    }

    /** Returns what its endpoints bear shortly after their start; empty if that is no less than later. */
    public Optional<ColdStart> coldStart() {
        return Optional.ofNullable(coldStartSpec);
    }
}
