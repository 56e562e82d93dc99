package org.radishpass.routing.health;

import java.util.HashSet;
import java.util.Set;

/**
 * The endpoints that are down, possibly unreachable or failing. While there are none, lists of endpoints need not be
 * searched for them; with 78 endpoints that saved several searches for each request. Confined to the traffic thread.
 */
final class ImpairedEndpoints {
    /** Contains every impaired endpoint, and some that have recovered since the last check. */
    private final Set<EndpointHealth> candidates = new HashSet<>();

    private long lastUnreachableAtMillis = EndpointHealth.NEVER;

    /** Adds an endpoint that may have become impaired. */
    void add(EndpointHealth health) {
        candidates.add(health);
    }

    /** Records that a connection failed. */
    void unreachable(EndpointHealth health, long nowMillis) {
        add(health);
        lastUnreachableAtMillis = Math.max(lastUnreachableAtMillis, nowMillis);
    }

    /** Removes an endpoint that is no longer listed. */
    void remove(EndpointHealth health) {
        candidates.remove(health);
    }

    /** Tells whether no endpoint is impaired. */
    boolean none(long nowMillis) {
        if (!candidates.isEmpty()) {
            candidates.removeIf(health -> !health.impaired(nowMillis));
        }
        return candidates.isEmpty();
    }

    /** Returns when a connection last failed, on the monotonic clock in milliseconds; a time long ago if none failed. */
    long lastUnreachableAtMillis() {
        return lastUnreachableAtMillis;
    }
}
