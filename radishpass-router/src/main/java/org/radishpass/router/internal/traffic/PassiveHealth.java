package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpass.core.fleet.Endpoint;

/**
 * Remembers for a moment which endpoints have just failed this router's requests.
 *
 * <p>It narrows the choice, and only while at least half of the endpoints are left.
 *
 * @since 0.1.0
 */
public final class PassiveHealth {
    private static final Duration PENALTY = Duration.ofSeconds(2);

    private final ConcurrentHashMap<String, Instant> avoidUntil = new ConcurrentHashMap<>();
    private final Clock clock;

    /**
     * Creates it.
     *
     * @param clock tells the time
     */
    public PassiveHealth(Clock clock) {
        this.clock = clock;
    }

    /**
     * Notes a failure.
     *
     * @param endpointId the endpoint
     */
    public void failed(String endpointId) {
        avoidUntil.put(endpointId, clock.instant().plus(PENALTY));
    }

    /**
     * Returns the endpoints to choose from.
     *
     * @param endpoints all that are open
     */
    public List<Endpoint> narrowed(List<Endpoint> endpoints) {
        if (avoidUntil.isEmpty()) {
            return endpoints;
        }
        Instant now = clock.instant();
        avoidUntil.values().removeIf(until -> !until.isAfter(now));
        List<Endpoint> left = endpoints.stream()
                .filter(endpoint -> !avoidUntil.containsKey(endpoint.id()))
                .toList();
        return left.size() * 2 >= endpoints.size() ? left : endpoints;
    }
}
