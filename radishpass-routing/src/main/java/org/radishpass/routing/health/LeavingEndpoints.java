package org.radishpass.routing.health;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.radishpass.routing.fleet.EndpointDirectory;

/**
 * The starts of endpoints that have stated in an answer to this router that they are draining. The list of endpoints may show it much
 * later: it says what the store accepted, and the store may be unavailable. Belongs to the traffic thread.
 *
 * @since 0.6.0
 */
public final class LeavingEndpoints {
    private final Map<String, Long> sinceMillis = new HashMap<>();

    /**
     * Notes that an endpoint is draining. That is never taken back for this start of it.
     *
     * @param endpointId the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether it was not known before
     */
    public boolean note(String endpointId, long nowMillis) {
        return sinceMillis.putIfAbsent(endpointId, nowMillis) == null;
    }

    /**
     * Tells whether an endpoint has stated that it is draining.
     *
     * @param endpointId the endpoint
     */
    public boolean contains(String endpointId) {
        return sinceMillis.containsKey(endpointId);
    }

    /**
     * Returns when an endpoint first stated it, on the monotonic clock in milliseconds; empty if it did not.
     *
     * @param endpointId the endpoint
     */
    public OptionalLong sinceMillis(String endpointId) {
        Long since = sinceMillis.get(endpointId);
        return since == null ? OptionalLong.empty() : OptionalLong.of(since);
    }

    /** Returns how many endpoints have stated it. */
    public int size() {
        return sinceMillis.size();
    }

    /**
     * Forgets endpoints that are no longer listed.
     *
     * @param directory the endpoints that are listed
     */
    public void retain(EndpointDirectory directory) {
        sinceMillis.keySet().removeIf(id -> directory.find(id).isEmpty());
    }
}
