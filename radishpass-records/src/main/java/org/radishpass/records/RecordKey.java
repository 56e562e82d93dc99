package org.radishpass.records;

/**
 * The unique key of a configuration record. Keys are ordered by kind, then by name.
 *
 * @param kind the value of the record's {@code kind}
 * @param name the name of the record
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
