package org.radishpass.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.radishpass.core.load.LoadBound;
import org.radishpass.core.placement.PlacementPolicy;
import org.radishpass.records.schema.RecordKind;

/**
 * An immutable snapshot of all configuration records at one revision.
 *
 * @since 0.1.0
 */
public final class Configuration {
    private static final String FLEET_NAME = "fleet";
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final Configuration EMPTY = new Configuration(0, Map.of());

    private final long revision;
    private final Map<RecordKey, StoredRecord> records;
    private final Map<String, WorkspaceSpec> workspaces = new HashMap<>();
    private final Map<String, ModelSpec> models = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, CapacitySpec> capacities = new HashMap<>();
    private final Set<String> endpointsCheckingFencingTokens = new HashSet<>();
    private final JsonNode fleet;

    private Configuration(long revision, Map<RecordKey, StoredRecord> records) {
        this.revision = revision;
        this.records = records;
        StoredRecord fleetRecord = records.get(new RecordKey(RecordKind.FLEET.wireName(), FLEET_NAME));
        this.fleet = fleetRecord == null || fleetRecord.deleted()
                ? com.fasterxml.jackson.databind.node.MissingNode.getInstance()
                : fleetRecord.spec();
        records.values().stream().filter(stored -> !stored.deleted()).forEach(this::index);
    }

    /** Returns the empty configuration at revision 0, before the first write. */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Returns the configuration that consists of the given records.
     *
     * @param revision the revision at which the records were read
     * @param records all records at that revision, including tombstones
     */
    public static Configuration of(long revision, Collection<StoredRecord> records) {
        Map<RecordKey, StoredRecord> byKey = new TreeMap<>();
        records.forEach(stored -> byKey.put(stored.key(), stored));
        return new Configuration(revision, byKey);
    }

    /**
     * Returns a configuration that results from applying changes to this one.
     *
     * @param changes the changes after this revision, in ascending order and without a gap
     * @throws IllegalArgumentException if a change's revision is not the one after its predecessor's
     */
    public Configuration after(List<ConfigurationChange> changes) {
        Map<RecordKey, StoredRecord> byKey = new TreeMap<>(records);
        long expected = revision;
        for (ConfigurationChange change : changes) {
            expected++;
            if (change.revision() != expected) {
                throw new IllegalArgumentException(
                        "change " + change.revision() + " does not follow revision " + (expected - 1));
            }
            byKey.put(change.recordAfter().key(), change.recordAfter());
        }
        return new Configuration(expected, byKey);
    }

    /** Returns the fleet-wide revision of this configuration. */
    public long revision() {
        return revision;
    }

    /** Returns all records, including tombstones. */
    public Collection<StoredRecord> records() {
        return records.values();
    }

    /**
     * Returns the workspace with a name, or nothing if there is none.
     *
     * @param name the name of the workspace
     */
    public Optional<WorkspaceSpec> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** Returns all models. */
    public Collection<ModelSpec> models() {
        return models.values();
    }

    /**
     * Returns the model with a name, or nothing if there is none.
     *
     * @param name the name of the model
     */
    public Optional<ModelSpec> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Returns the pool of endpoints that serves a model, or nothing if the model or adapter is unknown.
     *
     * @param requested the model as the caller wrote it: {@code model} or {@code model:adapter}
     */
    public Optional<String> poolOf(String requested) {
        int colon = requested.indexOf(':');
        if (colon < 0) {
            return model(requested).map(ModelSpec::pool);
        }
        String adapter = requested.substring(colon + 1);
        return model(requested.substring(0, colon))
                .filter(model -> model.adapters().contains(adapter))
                .map(model -> model.pool(adapter));
    }

    /**
     * Returns the service with a name, or nothing if there is none.
     *
     * @param name the name of the service
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns all capacity records. */
    public Collection<CapacitySpec> capacities() {
        return capacities.values();
    }

    /**
     * Tells whether an endpoint rejects orders whose fencing token is outdated.
     *
     * @param endpointId the id of the endpoint
     */
    public boolean checksFencingTokens(String endpointId) {
        return endpointsCheckingFencingTokens.contains(endpointId);
    }

    /** Returns the load bound of workspaces whose record sets none. */
    public LoadBound fleetLoadBound() {
        double multiple = fleet.path("loadBound").asDouble(LoadBound.DEFAULT.multiple());
        return new LoadBound(multiple);
    }

    /** Returns the number of retries that each first attempt adds to the retry budget. */
    public double retryRatio() {
        return fleet.path("retryRatio").asDouble(DEFAULT_RETRY_RATIO);
    }

    /** Returns the placement policy of the fleet, or {@code BOUNDED_AFFINITY} if its name is missing or unknown. */
    public PlacementPolicy policy() {
        String name = fleet.path("policy")
                .asText("")
                .toUpperCase(java.util.Locale.ROOT)
                .replace('-', '_');
        for (PlacementPolicy candidate : PlacementPolicy.values()) {
            if (candidate.name().equals(name)) {
                return candidate;
            }
        }
        return PlacementPolicy.BOUNDED_AFFINITY;
    }

    private void index(StoredRecord stored) {
        RecordKind kind = RecordKind.byWireName(stored.kind()).orElse(null);
        if (kind == null) {
            return;
        }
        switch (kind) {
            case WORKSPACE -> workspaces.put(stored.name(), WorkspaceSpec.of(stored, fleetLoadBound()));
            case MODEL -> models.put(stored.name(), ModelSpec.of(stored));
            case SERVICE -> services.put(stored.name(), ServiceSpec.of(stored));
            case CAPACITY -> capacities.put(stored.name(), CapacitySpec.of(stored));
            case ENDPOINT_POLICY -> {
                if (stored.spec().path("checksOrders").asBoolean()) {
                    stored.spec().path("endpoints").forEach(id -> endpointsCheckingFencingTokens.add(id.asText()));
                }
            }
            case FLEET -> {
                // the constructor looks up this record by its name
            }
        }
    }
}
