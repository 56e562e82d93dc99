package org.radishpass.records;

/**
 * Names a record.
 *
 * @param kind the kind, as it stands in {@code kind}
 * @param name the name
 * @since 0.1.0
 */
public record RecordKey(String kind, String name) implements Comparable<RecordKey> {
    @Override
    public int compareTo(RecordKey other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
