package org.radishpass.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A model with its version in service and its adapters.
 *
 * @param name the name of the model
 * @param version the version that serves new requests
 * @param adapters the names of the adapters that are loaded with the model
 * @since 0.1.0
 */
public record ModelSpec(String name, String version, List<String> adapters) {
    /**
     * Creates the spec from a stored record.
     *
     * @param stored the stored record
     */
    static ModelSpec of(StoredRecord stored) {
        JsonNode spec = stored.spec();
        List<String> adapters = new ArrayList<>();
        spec.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
        return new ModelSpec(stored.name(), spec.path("version").asText(), List.copyOf(adapters));
    }

    /** Returns the pool of the endpoints that serve the model without an adapter. */
    public String pool() {
        return name + "@" + version;
    }

    /**
     * Returns the pool of the endpoints that serve the model with an adapter.
     *
     * @param adapter the name of the adapter
     */
    public String pool(String adapter) {
        return name + ":" + adapter + "@" + version;
    }

    /** Returns all pools that an engine serves once the model and all its adapters are loaded. */
    public List<String> pools() {
        List<String> pools = new ArrayList<>();
        pools.add(pool());
        adapters.forEach(adapter -> pools.add(pool(adapter)));
        return pools;
    }
}
