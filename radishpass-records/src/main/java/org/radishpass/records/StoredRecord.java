package org.radishpass.records;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A configuration record in its stored form, as the table service holds it.
 *
 * <p>A deleted record stays as a tombstone, so that a reader that missed the deletion still sees it.
 *
 * @param kind the kind of the record, which this version of the program may not know
 * @param name the name of the record
 * @param revision the fleet-wide revision that last changed the record
 * @param deleted whether the record is a tombstone
 * @param spec the content of the record, in the stored form of its kind
 * @since 0.1.0
 */
public record StoredRecord(String kind, String name, long revision, boolean deleted, ObjectNode spec) {
    /** Returns the key of the record. */
    @JsonIgnore
    public RecordKey key() {
        return new RecordKey(kind, name);
    }
}
