package org.radishpass.routing.health;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.radishpass.routing.fleet.EndpointDirectory;

/**
 * Tracks the endpoints that have stated in a response to this router that they are leaving. The list of endpoints may
 * show them as leaving much later, because the list comes from the store, which may be unavailable. Confined to the
 * traffic thread.
 *
 * @since 0.6.0
 */
public final class LeavingEndpoints {
    private final Map<String, Long> sinceMillis = new HashMap<>();

    /**
     * Records that an endpoint is leaving. A leaving endpoint accepts no new requests for the rest of its incarnation.
     *
     * @param endpointId the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether the endpoint was not known to be leaving before
     */
    public boolean note(String endpointId, long nowMillis) {
        return sinceMillis.putIfAbsent(endpointId, nowMillis) == null;
    }

    /**
     * Tells whether an endpoint has stated that it is leaving.
     *
     * @param endpointId the endpoint
     */
    public boolean contains(String endpointId) {
        return sinceMillis.containsKey(endpointId);
    }

    /**
     * Returns when an endpoint first stated that it is leaving, on the monotonic clock in milliseconds; empty if it
     * did not.
     *
     * @param endpointId the endpoint
     */
    public OptionalLong sinceMillis(String endpointId) {
        Long since = sinceMillis.get(endpointId);
        return since == null ? OptionalLong.empty() : OptionalLong.of(since);
    }

    /** Returns the number of endpoints that have stated that they are leaving. */
    public int size() {
        return sinceMillis.size();
    }

    /**
     * Removes endpoints that are no longer in the directory.
     *
     * @param directory the current endpoints
     */
    public void retain(EndpointDirectory directory) {
        sinceMillis.keySet().removeIf(id -> directory.find(id).isEmpty());
    }
}
