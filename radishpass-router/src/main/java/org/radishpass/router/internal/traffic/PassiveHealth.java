package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpass.core.fleet.Endpoint;

/**
 * Keeps, for a short time, at which endpoints this router's requests have failed, so that placement avoids them.
 *
 * <p>The failing endpoints are avoided only while at least half of the candidates remain.
 *
 * @since 0.1.0
 */
public final class PassiveHealth {
    private static final Duration AVOID_DURATION = Duration.ofSeconds(2);

    private final ConcurrentHashMap<String, Instant> avoidUntil = new ConcurrentHashMap<>();
    private final Clock clock;

    /**
     * Creates a record without failures.
     *
     * @param clock the source of the current time
     */
    public PassiveHealth(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records a failure at an endpoint, which is then avoided for a short time.
     *
     * @param endpointId the id of the endpoint
     */
    public void recordFailure(String endpointId) {
        avoidUntil.put(endpointId, clock.instant().plus(AVOID_DURATION));
    }

    /**
     * Returns the candidates without recently failing endpoints, or all candidates if fewer than half would remain.
     *
     * @param endpoints the candidates, which are the endpoints that accept requests
     */
    public List<Endpoint> withoutFailing(List<Endpoint> endpoints) {
        if (avoidUntil.isEmpty()) {
            return endpoints;
        }
        Instant now = clock.instant();
        avoidUntil.values().removeIf(until -> !until.isAfter(now));
        List<Endpoint> remaining = endpoints.stream()
                .filter(endpoint -> !avoidUntil.containsKey(endpoint.id()))
                .toList();
        return remaining.size() * 2 >= endpoints.size() ? remaining : endpoints;
    }
}
