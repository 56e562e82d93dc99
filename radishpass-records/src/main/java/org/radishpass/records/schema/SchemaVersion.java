package org.radishpass.records.schema;

import java.util.Optional;

/**
 * The schema versions that records can be written in.
 *
 * @since 0.1.0
 */
public enum SchemaVersion {
    /** The first version. */
    V1("radishpass/v1"),
    /** The second version, whose field paths and value forms are also those of stored records. */
    V2("radishpass/v2");

    private final String wireName;

    SchemaVersion(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the value of {@code apiVersion} in a record of this version. */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the version with a name, or nothing if there is none.
     *
     * @param name the value of {@code apiVersion}
     */
    public static Optional<SchemaVersion> byWireName(String name) {
        for (SchemaVersion candidate : values()) {
            if (candidate.wireName.equals(name)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
