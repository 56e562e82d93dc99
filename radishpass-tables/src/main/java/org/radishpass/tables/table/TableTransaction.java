package org.radishpass.tables.table;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Checks, writes and reads that the table service carries out together or not at all.
 *
 * @param checks the versions that must still hold
 * @param writes the rows to write or delete
 * @param reads the keys to read, after the writes
 * @param scans the ranges to read, after the writes
 * @since 0.1.0
 */
public record TableTransaction(List<Check> checks, List<Write> writes, List<String> reads, List<Scan> scans) {
    /** Starts a transaction. */
    public static Builder builder() {
        return new Builder();
    }

    /** Tells whether it writes anything. */
    public boolean writing() {
        return !writes.isEmpty();
    }

    /**
     * A version that must still hold.
     *
     * @param key the key
     * @param version the version; 0 where there must be no row
     * @since 0.1.0
     */
    public record Check(String key, long version) {}

    /**
     * A row to write.
     *
     * @param key the key
     * @param value the content, or null to delete the row
     * @since 0.1.0
     */
    public record Write(String key, @Nullable JsonNode value) {}

    /**
     * A range to read, in the order of keys.
     *
     * @param prefix what the keys start with
     * @param after the key after which to start; empty for the first
     * @param limit the most rows
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
         * Requires a version.
         *
         * @param key the key
         * @param version the version; 0 where there must be no row
         */
        public Builder check(String key, long version) {
            checks.add(new Check(key, version));
            return this;
        }

        /**
         * Writes a row.
         *
         * @param key the key
         * @param value the content
         */
        public Builder put(String key, JsonNode value) {
            writes.add(new Write(key, value));
            return this;
        }

        /**
         * Deletes a row.
         *
         * @param key the key
         */
        public Builder delete(String key) {
            writes.add(new Write(key, null));
            return this;
        }

        /**
         * Reads a row.
         *
         * @param key the key
         */
        public Builder read(String key) {
            reads.add(key);
            return this;
        }

        /**
         * Reads a range.
         *
         * @param prefix what the keys start with
         * @param after the key after which to start; empty for the first
         * @param limit the most rows
         */
        public Builder scan(String prefix, String after, int limit) {
            scans.add(new Scan(prefix, after, limit));
            return this;
        }

        /** Returns the transaction. */
        public TableTransaction build() {
            return new TableTransaction(
                    List.copyOf(checks), List.copyOf(writes), List.copyOf(reads), List.copyOf(scans));
        }
    }
}
