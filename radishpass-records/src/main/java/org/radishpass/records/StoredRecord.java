package org.radishpass.records;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A record as the table service holds it, under the storage version of its kind.
 *
 * <p>A deleted record stays as a tombstone, so that a reader that missed the change still learns of it.
 *
 * @param kind the kind, possibly one that this program does not know
 * @param name the name
 * @param revision the fleet-wide revision that wrote it
 * @param deleted whether this is a tombstone
 * @param spec the content
 * @since 0.1.0
 */
public record StoredRecord(String kind, String name, long revision, boolean deleted, ObjectNode spec) {
    /** Returns the key of the record. */
    @JsonIgnore
    public RecordKey key() {
        return new RecordKey(kind, name);
    }
}
