package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Converts specs between the schema versions and the stored form.
 *
 * @since 0.1.0
 */
public final class SchemaConversion {
    private SchemaConversion() {
        // static methods only
    }

    /**
     * Returns the stored spec after a write. Fields of the writer's schema version are replaced, or removed if the
     * writer omitted them. All other fields keep their stored value.
     *
     * @param kind the kind of the record
     * @param version the schema version that the writer used
     * @param written the spec from the writer
     * @param stored the stored spec before the write; empty for a new record
     */
    public static ObjectNode rewrite(RecordKind kind, SchemaVersion version, JsonNode written, ObjectNode stored) {
        ObjectNode result = stored.deepCopy();
        for (Field field : kind.fields(version)) {
            JsonNode value = JsonPaths.read(written, field.path());
            if (value.isMissingNode()) {
                JsonPaths.remove(result, field.storedPath());
            } else {
                JsonPaths.write(result, field.storedPath(), field.toStored(value));
            }
        }
        return result;
    }

    /**
     * Returns a stored spec in the form of a schema version. Fields that this version does not define are left out.
     *
     * @param kind the kind of the record
     * @param version the schema version that the reader asked for
     * @param stored the stored spec
     */
    public static ObjectNode view(RecordKind kind, SchemaVersion version, JsonNode stored) {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        for (Field field : kind.fields(version)) {
            JsonNode value = JsonPaths.read(stored, field.storedPath());
            if (!value.isMissingNode()) {
                JsonPaths.write(result, field.path(), field.fromStored(value));
            }
        }
        return result;
    }
}
