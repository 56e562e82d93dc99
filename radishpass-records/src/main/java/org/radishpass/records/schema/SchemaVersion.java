package org.radishpass.records.schema;

import java.util.Optional;

/**
 * The schema versions that records may be written under.
 *
 * @since 0.1.0
 */
public enum SchemaVersion {
    /** The first version. */
    V1("radishpass/v1"),
    /** The second version; records are stored under it. */
    V2("radishpass/v2");

    private final String wireName;

    SchemaVersion(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the value of {@code apiVersion} that stands for this version. */
    public String wireName() {
        return wireName;
    }

    /**
     * Finds a version by its name.
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
