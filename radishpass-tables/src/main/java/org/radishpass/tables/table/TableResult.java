package org.radishpass.tables.table;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @since 0.1.0
 */
public sealed interface TableResult {
    /**
     * The transaction was committed.
     *
     * @param rows the rows read by key, in the order of the reads
     * @param scans the rows of each scan, in the order of the scans
     * @since 0.1.0
     */
    record Committed(List<TableRow> rows, List<List<TableRow>> scans) implements TableResult {}

    /**
     * A version check failed; nothing was written.
     *
     * @param key the key whose check failed
     * @since 0.1.0
     */
    record Conflict(String key) implements TableResult {}

    /**
     * The service refused the transaction or could not be reached; nothing was written.
     *
     * @param detail the reason
     * @since 0.1.0
     */
    record Refused(String detail) implements TableResult {}

    /**
     * The outcome is unknown, for example after a timeout. The transaction may have been committed, or may still be.
     *
     * @param detail the reason
     * @since 0.1.0
     */
    record Unknown(String detail) implements TableResult {}
}
