package org.radishpass.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.load.LoadBound;

/**
 * The keys, limits and placement settings of a workspace.
 *
 * @param name the name of the workspace
 * @param keys the hashes of all valid keys; there are two while a key is being replaced
 * @param defaultClass the priority class of requests that specify none
 * @param inFlight the maximum number of requests in progress in the whole fleet
 * @param queued the maximum number of requests that may wait at one router
 * @param bound the maximum load to which the workspace's requests may bring an endpoint, as a multiple of the mean load
 * @param spread the number of endpoints that the workspace's chats are spread over; 0 means all endpoints
 * @since 0.1.0
 */
public record WorkspaceSpec(
        String name,
        List<KeyHash> keys,
        PriorityClass defaultClass,
        int inFlight,
        int queued,
        LoadBound bound,
        int spread) {
    private static final int DEFAULT_IN_FLIGHT = 1_000;
    private static final int DEFAULT_QUEUED = 200;

    /**
     * Creates the spec from a stored record.
     *
     * @param stored the stored record
     * @param fleetLoadBound the load bound to use if the record sets none
     */
    static WorkspaceSpec of(StoredRecord stored, LoadBound fleetLoadBound) {
        JsonNode spec = stored.spec();
        List<KeyHash> keys = new ArrayList<>();
        spec.path("keys")
                .forEach(key -> keys.add(new KeyHash(
                        key.path("salt").asText(), key.path("sha256").asText())));
        JsonNode multiple = spec.path("placement").path("loadBound");
        return new WorkspaceSpec(
                stored.name(),
                List.copyOf(keys),
                PriorityClass.byWireName(spec.path("defaultClass").asText()).orElse(PriorityClass.INTERACTIVE),
                spec.path("limits").path("inFlight").asInt(DEFAULT_IN_FLIGHT),
                spec.path("limits").path("queued").asInt(DEFAULT_QUEUED),
                multiple.isNumber() ? new LoadBound(multiple.doubleValue()) : fleetLoadBound,
                spec.path("placement").path("spread").asInt(0));
    }

    /**
     * Tells whether a secret matches one of the workspace's keys. All keys are compared, so that the time taken
     * does not depend on which key matches.
     *
     * @param secret the secret part of a caller's key
     */
    public boolean accepts(String secret) {
        boolean found = false;
        for (KeyHash key : keys) {
            found |= key.matches(secret);
        }
        return found;
    }
}
