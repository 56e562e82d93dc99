package org.radishpass.tables.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A transaction: version checks, writes and reads that the table service carries out atomically.
 *
 * @param checks the versions that rows must have
 * @param writes the rows to write or delete
 * @param reads the keys of the rows to read, after the writes
 * @param scans the key ranges to read, after the writes
 * @since 0.1.0
 */
public record TableTransaction(List<Check> checks, List<Write> writes, List<String> reads, List<Scan> scans) {
    /** Returns a builder of an empty transaction. */
    public static Builder builder() {
        return new Builder();
    }

    /** Tells whether the transaction writes or deletes rows. */
    public boolean writing() {
        return !writes.isEmpty();
    }

    /**
     * A check that a row has an expected version.
     *
     * @param key the key of the row
     * @param version the expected version; 0 if the row must not exist
     * @since 0.1.0
     */
    public record Check(String key, long version) {}

    /**
     * A row to write or delete.
     *
     * @param key the key of the row
     * @param value the content, or null to delete the row
     * @since 0.1.0
     */
    public record Write(String key, @Nullable JsonNode value) {}

    /**
     * A range of rows to read in the order of their keys.
     *
     * @param prefix the prefix of the keys
     * @param after the key after which the scan starts; empty to start with the first row
     * @param limit the maximum number of rows
     * @since 0.1.0
     */
    public record Scan(String prefix, String after, int limit) {}

    /**
     * Builds a transaction.
     *
     * @since 0.1.0
     */
    public static final class Builder {
        private final List<Check> checks = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();
        private final List<String> reads = new ArrayList<>();
        private final List<Scan> scans = new ArrayList<>();

        private Builder() {}

        /**
         * Adds a check that a row has an expected version.
         *
         * @param key the key of the row
         * @param version the expected version; 0 if the row must not exist
         */
        public Builder check(String key, long version) {
            checks.add(new Check(key, version));
            return this;
        }

        /**
         * Adds a row to write.
         *
         * @param key the key of the row
         * @param value the content
         */
        public Builder put(String key, JsonNode value) {
            writes.add(new Write(key, value));
            return this;
        }

        /**
         * Adds a row to delete.
         *
         * @param key the key of the row
         */
        public Builder delete(String key) {
            writes.add(new Write(key, null));
            return this;
        }

        /**
         * Adds a row to read.
         *
         * @param key the key of the row
         */
        public Builder read(String key) {
            reads.add(key);
            return this;
        }

        /**
         * Adds a range of rows to read.
         *
         * @param prefix the prefix of the keys
         * @param after the key after which the scan starts; empty to start with the first row
         * @param limit the maximum number of rows
         */
        public Builder scan(String prefix, String after, int limit) {
            scans.add(new Scan(prefix, after, limit));
            return this;
        }

        /** Builds the transaction. */
        public TableTransaction build() {
            return new TableTransaction(
                    List.copyOf(checks), List.copyOf(writes), List.copyOf(reads), List.copyOf(scans));
        }
    }
}
