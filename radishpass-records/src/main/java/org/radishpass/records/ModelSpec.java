package org.radishpass.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A model with the version in service and its adapters.
 *
 * @param name the model
 * @param version the version that new requests go to
 * @param adapters the adapters that are loaded beside it
 * @since 0.1.0
 */
public record ModelSpec(String name, String version, List<String> adapters) {
    /**
     * Reads a stored spec.
     *
     * @param stored the record
     */
    static ModelSpec of(StoredRecord stored) {
        JsonNode spec = stored.spec();
        List<String> adapters = new ArrayList<>();
        spec.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
        return new ModelSpec(stored.name(), spec.path("version").asText(), List.copyOf(adapters));
    }

    /** Returns the pool of the endpoints that serve the model itself. */
    public String pool() {
        return name + "@" + version;
    }

    /**
     * Returns the pool of the endpoints that serve the model with an adapter.
     *
     * @param adapter the adapter
     */
    public String pool(String adapter) {
        return name + ":" + adapter + "@" + version;
    }

    /** Returns all pools that an engine serves once this model is loaded whole. */
    public List<String> pools() {
        List<String> pools = new ArrayList<>();
        pools.add(pool());
        adapters.forEach(adapter -> pools.add(pool(adapter)));
        return pools;
    }
}
