package org.radishpass.tables.table;

import java.util.List;

/**
 * What became of a transaction.
 *
 * @since 0.1.0
 */
public sealed interface TableResult {
    /**
     * It was carried out.
     *
     * @param rows the rows read by key, in the order asked
     * @param scans the rows of each range, in the order asked
     * @since 0.1.0
     */
    record Committed(List<TableRow> rows, List<List<TableRow>> scans) implements TableResult {}

    /**
     * A check failed; nothing was written.
     *
     * @param key the key whose check failed
     * @since 0.1.0
     */
    record Conflict(String key) implements TableResult {}

    /**
     * The service refused it; nothing was written.
     *
     * @param detail why
     * @since 0.1.0
     */
    record Refused(String detail) implements TableResult {}

    /**
     * No answer came; it may have been carried out, or may yet be.
     *
     * @param detail what happened
     * @since 0.1.0
     */
    record Unknown(String detail) implements TableResult {}
}
