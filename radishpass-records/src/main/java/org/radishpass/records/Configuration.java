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
 * The configuration at one revision, immutable.
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
    private final Set<String> orderChecking = new HashSet<>();
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

    /** Returns the configuration before any record was written. */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Returns a configuration made of all records at a revision.
     *
     * @param revision the revision
     * @param records the records, tombstones among them
     */
    public static Configuration of(long revision, Collection<StoredRecord> records) {
        Map<RecordKey, StoredRecord> byKey = new TreeMap<>();
        records.forEach(stored -> byKey.put(stored.key(), stored));
        return new Configuration(revision, byKey);
    }

    /**
     * Returns this configuration after further changes.
     *
     * @param changes the changes that follow this revision, in order and without a gap
     * @throws IllegalArgumentException if the changes do not follow this revision
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

    /** Returns the fleet-wide revision. */
    public long revision() {
        return revision;
    }

    /** Returns all records, tombstones among them. */
    public Collection<StoredRecord> records() {
        return records.values();
    }

    /**
     * Returns one workspace.
     *
     * @param name its name
     */
    public Optional<WorkspaceSpec> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** Returns the models. */
    public Collection<ModelSpec> models() {
        return models.values();
    }

    /**
     * Returns one model.
     *
     * @param name its name
     */
    public Optional<ModelSpec> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Returns the pool that serves a model as a caller names it.
     *
     * @param named the model, or model and adapter parted by a colon
     */
    public Optional<String> poolOf(String named) {
        int colon = named.indexOf(':');
        if (colon < 0) {
            return model(named).map(ModelSpec::pool);
        }
        String adapter = named.substring(colon + 1);
        return model(named.substring(0, colon))
                .filter(model -> model.adapters().contains(adapter))
                .map(model -> model.pool(adapter));
    }

    /**
     * Returns one service.
     *
     * @param name its name
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the declared capacities. */
    public Collection<CapacitySpec> capacities() {
        return capacities.values();
    }

    /**
     * Tells whether an endpoint refuses orders with an old fencing number.
     *
     * @param endpointId the endpoint
     */
    public boolean checksOrders(String endpointId) {
        return orderChecking.contains(endpointId);
    }

    /** Returns the bound for workspaces that set none. */
    public LoadBound fleetBound() {
        double multiple = fleet.path("loadBound").asDouble(LoadBound.DEFAULT.multiple());
        return new LoadBound(multiple);
    }

    /** Returns how many retries each first attempt earns. */
    public double retryRatio() {
        return fleet.path("retryRatio").asDouble(DEFAULT_RETRY_RATIO);
    }

    /** Returns the placement policy; a name that is not known stands for the fleet's own. */
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
            case WORKSPACE -> workspaces.put(stored.name(), WorkspaceSpec.of(stored, fleetBound()));
            case MODEL -> models.put(stored.name(), ModelSpec.of(stored));
            case SERVICE -> services.put(stored.name(), ServiceSpec.of(stored));
            case CAPACITY -> capacities.put(stored.name(), CapacitySpec.of(stored));
            case ENDPOINT_POLICY -> {
                if (stored.spec().path("checksOrders").asBoolean()) {
                    stored.spec().path("endpoints").forEach(id -> orderChecking.add(id.asText()));
                }
            }
            case FLEET -> {
                // read by name when asked for
            }
        }
    }
}
