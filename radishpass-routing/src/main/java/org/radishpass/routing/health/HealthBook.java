package org.radishpass.routing.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * The health of all endpoints as this router has seen it. Belongs to the traffic thread.
 *
 * @since 0.2.0
 */
public final class HealthBook {
    /** The part of a service's endpoints that may be left out for errors; beyond it, the errors are not theirs. */
    private static final double MOST_EJECTED = 0.4;

    private final Map<String, EndpointHealth> byEndpoint = new HashMap<>();

    /**
     * Returns the health of an endpoint.
     *
     * @param endpointId the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public EndpointHealth of(String endpointId, long nowMillis) {
        return byEndpoint.computeIfAbsent(endpointId, id -> new EndpointHealth(nowMillis));
    }

    /**
     * Returns the endpoints that work can be given to. Suspicion narrows the choice but never empties it: where all look
     * dead, all are returned.
     *
     * @param open the endpoints of a service that take new work
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public List<ServiceEndpoint> usable(List<ServiceEndpoint> open, long nowMillis) {
        List<ServiceEndpoint> reachable = new ArrayList<>(open.size());
        List<ServiceEndpoint> sound = new ArrayList<>(open.size());
        for (ServiceEndpoint endpoint : open) {
            EndpointHealth health = of(endpoint.id(), nowMillis);
            if (health.down()) {
                continue;
            }
            reachable.add(endpoint);
            if (!health.failing(nowMillis)) {
                sound.add(endpoint);
            }
        }
        if (reachable.isEmpty()) {
            return open;
        }
        return sound.size() < reachable.size() * (1 - MOST_EJECTED) ? reachable : sound;
    }

    /**
     * Returns the endpoints to which connections do not fail.
     *
     * @param endpoints the endpoints
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public List<ServiceEndpoint> reachable(List<ServiceEndpoint> endpoints, long nowMillis) {
        return endpoints.stream()
                .filter(endpoint -> !of(endpoint.id(), nowMillis).down())
                .toList();
    }

    /**
     * Forgets endpoints that are no longer known.
     *
     * @param directory the endpoints that are known
     */
    public void retain(EndpointDirectory directory) {
        byEndpoint.keySet().removeIf(id -> directory.find(id).isEmpty());
    }
}
