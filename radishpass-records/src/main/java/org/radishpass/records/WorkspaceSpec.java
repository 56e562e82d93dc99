package org.radishpass.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.load.LoadBound;

/**
 * What a workspace may do and how its requests are placed.
 *
 * @param name the workspace
 * @param keys the keys that are valid, two at once while one is replaced
 * @param defaultClass the class of requests that name none
 * @param inFlight the most requests in progress in the whole fleet
 * @param queued the most requests that may wait at one router
 * @param bound the multiple of the mean load that its requests may bring an endpoint to
 * @param spread over how many endpoints its chats are spread; 0 for all
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
     * Reads a stored spec.
     *
     * @param stored the record
     * @param fleetBound the bound where the record sets none
     */
    static WorkspaceSpec of(StoredRecord stored, LoadBound fleetBound) {
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
                multiple.isNumber() ? new LoadBound(multiple.doubleValue()) : fleetBound,
                spec.path("placement").path("spread").asInt(0));
    }

    /**
     * Tells whether a secret belongs to this workspace.
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
