package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Moves specs between schema versions and the stored form.
 *
 * @since 0.1.0
 */
public final class SchemaConversion {
    private SchemaConversion() {
        // static methods only
    }

    /**
     * Returns the stored spec after a write: each field that the writer's schema knows is taken from the writer, also
     * where it left it out; every other field is kept.
     *
     * @param kind the kind of record
     * @param version the writer's schema version
     * @param written the writer's spec
     * @param stored the spec stored so far, empty for a new record
     */
    public static ObjectNode rewrite(RecordKind kind, SchemaVersion version, JsonNode written, ObjectNode stored) {
        ObjectNode result = stored.deepCopy();
        for (Field field : kind.fields(version)) {
            JsonNode value = Paths.read(written, field.path());
            if (value.isMissingNode()) {
                Paths.remove(result, field.storedPath());
            } else {
                Paths.write(result, field.storedPath(), field.toStored(value));
            }
        }
        return result;
    }

    /**
     * Returns a stored spec as a schema version shows it.
     *
     * @param kind the kind of record
     * @param version the reader's schema version
     * @param stored the stored spec
     */
    public static ObjectNode view(RecordKind kind, SchemaVersion version, JsonNode stored) {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        for (Field field : kind.fields(version)) {
            JsonNode value = Paths.read(stored, field.storedPath());
            if (!value.isMissingNode()) {
                Paths.write(result, field.path(), field.fromStored(value));
            }
        }
        return result;
    }
}
