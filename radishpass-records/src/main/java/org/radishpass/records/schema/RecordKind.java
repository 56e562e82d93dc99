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
 * The kinds of records, each with its schema versions.
 *
 * @since 0.1.0
 */
public enum RecordKind {
    /** Who may ask, and within what limits. */
    WORKSPACE("Workspace", Map.of(V1, Fields.workspaceV1(), V2, Fields.workspaceV2())),
    /** A model with its versions and adapters. */
    MODEL("Model", Map.of(V1, Fields.model(), V2, Fields.model())),
    /** A plain service and which of its calls may not be repeated. */
    SERVICE("Service", Map.of(V1, Fields.service(), V2, Fields.service())),
    /** How many engines of a model stand ready and how many sleep, in each data centre. */
    CAPACITY("Capacity", Map.of(V1, Fields.capacity(), V2, Fields.capacity())),
    /** What holds for the fleet as a whole. */
    FLEET("Fleet", Map.of(V1, Fields.fleet(), V2, Fields.fleet())),
    /** Which endpoints check the fencing number of an order. */
    ENDPOINT_POLICY("EndpointPolicy", Map.of(V1, Fields.endpointPolicy(), V2, Fields.endpointPolicy()));

    private final String wireName;

    @SuppressWarnings("ImmutableEnumChecker") // made by Map.of and List.of alone
    private final Map<SchemaVersion, List<Field>> fields;

    RecordKind(String wireName, Map<SchemaVersion, List<Field>> fields) {
        this.wireName = wireName;
        this.fields = fields;
    }

    /** Returns the value of {@code kind} that stands for this kind. */
    public String wireName() {
        return wireName;
    }

    /** Returns the schema versions that it may be written under. */
    public Set<SchemaVersion> versions() {
        return fields.keySet();
    }

    /**
     * Returns the fields of a schema version.
     *
     * @param version the version
     */
    public List<Field> fields(SchemaVersion version) {
        return fields.getOrDefault(version, List.of());
    }

    /**
     * Finds a kind by its name, in any case.
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
        private static final double PERCENT = 100;

        private static Field optional(String path, FieldType type) {
            return Field.at(path, type).build();
        }

        private static Field required(String path, FieldType type) {
            return Field.at(path, type).mustBeThere().build();
        }

        private static Field keys() {
            return Field.at("keys", FieldType.OBJECTS)
                    .mustBeThere()
                    .of(required("salt", FieldType.TEXT), required("sha256", FieldType.TEXT))
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
                            .storedAt("placement.loadBound", Fields::asMultiple, Fields::asPercent)
                            .build());
        }

        private static List<Field> workspaceV2() {
            return List.of(
                    keys(),
                    optional("defaultClass", FieldType.PRIORITY_CLASS),
                    optional("limits.inFlight", FieldType.COUNT),
                    optional("limits.queued", FieldType.COUNT),
                    optional("placement.loadBound", FieldType.MULTIPLE),
                    optional("placement.spread", FieldType.COUNT));
        }

        private static List<Field> model() {
            return List.of(required("version", FieldType.TEXT), optional("adapters", FieldType.TEXTS));
        }

        private static List<Field> service() {
            return List.of(Field.at("calls", FieldType.OBJECTS)
                    .mustBeThere()
                    .of(
                            required("method", FieldType.TEXT),
                            required("path", FieldType.TEXT),
                            required("idempotent", FieldType.FLAG))
                    .build());
        }

        private static List<Field> capacity() {
            return List.of(
                    required("model", FieldType.TEXT),
                    required("ready", FieldType.COUNT),
                    optional("asleep", FieldType.COUNT));
        }

        private static List<Field> fleet() {
            return List.of(
                    optional("loadBound", FieldType.MULTIPLE),
                    optional("retryRatio", FieldType.FRACTION),
                    optional("policy", FieldType.TEXT));
        }

        private static List<Field> endpointPolicy() {
            return List.of(required("endpoints", FieldType.TEXTS), required("checksOrders", FieldType.FLAG));
        }

        private static JsonNode asMultiple(JsonNode percent) {
            return DoubleNode.valueOf(percent.doubleValue() / PERCENT);
        }

        private static JsonNode asPercent(JsonNode multiple) {
            return IntNode.valueOf((int) Math.round(multiple.doubleValue() * PERCENT));
        }
    }
}
