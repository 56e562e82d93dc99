package org.radishpass.records;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaVersion;

/**
 * A configuration record as an operator wrote it in a file.
 *
 * @param version the schema version of the spec
 * @param kind the kind of the record
 * @param name the name of the record, unique within its kind
 * @param spec the content of the record under that schema version
 * @param source the file and the document's number in the file, for messages
 * @since 0.1.0
 */
public record RecordDocument(SchemaVersion version, RecordKind kind, String name, ObjectNode spec, String source) {
    /** Returns the key of the record. */
    public RecordKey key() {
        return new RecordKey(kind.wireName(), name);
    }
}
