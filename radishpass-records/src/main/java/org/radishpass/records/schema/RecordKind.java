package org.radishpass.records.schema;

import static org.radishpass.records.schema.SchemaVersion.V1;
import static org.radishpass.records.schema.SchemaVersion.V2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.IntNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The kinds of configuration records, each with its fields under every schema version.
 *
 * @since 0.1.0
 */
public enum RecordKind {
    /** The keys, limits and placement settings of one workspace. */
    WORKSPACE("Workspace", Map.of(V1, Fields.workspaceV1(), V2, Fields.workspaceV2())),
    /** A model with its version in service and its adapters. */
    MODEL("Model", Map.of(V1, Fields.model(), V2, Fields.model())),
    /** A plain service with its calls and whether each of them is idempotent. */
    SERVICE("Service", Map.of(V1, Fields.service(), V2, Fields.service())),
    /** The number of ready and of sleeping engines of a model in every data centre. */
    CAPACITY("Capacity", Map.of(V1, Fields.capacity(), V2, Fields.capacity())),
    /** The settings of the fleet as a whole. */
    FLEET("Fleet", Map.of(V1, Fields.fleet(), V2, Fields.fleet())),
    /** The endpoints that check the fencing token of an order. */
    ENDPOINT_POLICY("EndpointPolicy", Map.of(V1, Fields.endpointPolicy(), V2, Fields.endpointPolicy()));

    private final String wireName;

    @SuppressWarnings("ImmutableEnumChecker") // Map.of and List.of return immutable collections
    private final Map<SchemaVersion, List<Field>> fields;

    RecordKind(String wireName, Map<SchemaVersion, List<Field>> fields) {
        this.wireName = wireName;
        this.fields = fields;
    }

    /** Returns the value of {@code kind} in a record of this kind. */
    public String wireName() {
        return wireName;
    }

    /** Returns the schema versions that define this kind. */
    public Set<SchemaVersion> versions() {
        return fields.keySet();
    }

    /**
     * Returns the fields of this kind under a schema version.
     *
     * @param version the schema version
     */
    public List<Field> fields(SchemaVersion version) {
        return fields.getOrDefault(version, List.of());
    }

    /**
     * Returns the kind with a name, ignoring case, or nothing if there is none.
     *
     * @param name the value of {@code kind}
     */
    public static Optional<RecordKind> byWireName(String name) {
        for (RecordKind candidate : values()) {
            if (candidate.wireName.equalsIgnoreCase(name)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /** The fields of each kind and version. */
    private static final class Fields {
        private static final double HUNDRED_PERCENT = 100;

        private static Field optional(String path, FieldType type) {
            return Field.at(path, type).build();
        }

        private static Field required(String path, FieldType type) {
            return Field.at(path, type).required().build();
        }

        private static Field keys() {
            return Field.at("keys", FieldType.OBJECT_LIST)
                    .required()
                    .elements(required("salt", FieldType.STRING), required("sha256", FieldType.STRING))
                    .build();
        }

        private static List<Field> workspaceV1() {
            return List.of(
                    keys(),
                    optional("defaultClass", FieldType.PRIORITY_CLASS),
                    Field.at("maxInFlight", FieldType.COUNT)
                            .storedAt("limits.inFlight", value -> value, value -> value)
                            .build(),
                    Field.at("boundPercent", FieldType.PERCENT_ABOVE_100)
                            .storedAt("placement.loadBound", Fields::percentToMultiple, Fields::multipleToPercent)
                            .build());
        }

        private static List<Field> workspaceV2() {
            return List.of(
                    keys(),
                    optional("defaultClass", FieldType.PRIORITY_CLASS),
                    optional("limits.inFlight", FieldType.COUNT),
                    optional("limits.queued", FieldType.COUNT),
                    optional("placement.loadBound", FieldType.MULTIPLE_ABOVE_1),
                    optional("placement.spread", FieldType.COUNT));
        }

        private static List<Field> model() {
            return List.of(required("version", FieldType.STRING), optional("adapters", FieldType.STRING_LIST));
        }

        private static List<Field> service() {
            return List.of(Field.at("calls", FieldType.OBJECT_LIST)
                    .required()
                    .elements(
                            required("method", FieldType.STRING),
                            required("path", FieldType.STRING),
                            required("idempotent", FieldType.BOOLEAN))
                    .build());
        }

        private static List<Field> capacity() {
            return List.of(
                    required("model", FieldType.STRING),
                    required("ready", FieldType.COUNT),
                    optional("asleep", FieldType.COUNT));
        }

        private static List<Field> fleet() {
            return List.of(
                    optional("loadBound", FieldType.MULTIPLE_ABOVE_1),
                    optional("retryRatio", FieldType.FRACTION),
                    optional("policy", FieldType.STRING));
        }

        private static List<Field> endpointPolicy() {
            return List.of(required("endpoints", FieldType.STRING_LIST), required("checksOrders", FieldType.BOOLEAN));
        }

        private static JsonNode percentToMultiple(JsonNode percent) {
            return DoubleNode.valueOf(percent.doubleValue() / HUNDRED_PERCENT);
        }

        private static JsonNode multipleToPercent(JsonNode multiple) {
            return IntNode.valueOf((int) Math.round(multiple.doubleValue() * HUNDRED_PERCENT));
        }
    }
}
