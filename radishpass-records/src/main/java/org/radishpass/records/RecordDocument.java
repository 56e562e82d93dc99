package org.radishpass.records;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaVersion;

/**
 * A record as an operator writes it.
 *
 * @param version the schema version it is written under
 * @param kind its kind
 * @param name its name, unique among its kind
 * @param spec its content under that version
 * @param source the file it came from, for messages
 * @since 0.1.0
 */
public record RecordDocument(SchemaVersion version, RecordKind kind, String name, ObjectNode spec, String source) {
    /** Returns the key of the record. */
    public RecordKey key() {
        return new RecordKey(kind.wireName(), name);
    }
}
