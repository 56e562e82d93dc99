package org.radishpass.tables.configuration;

import java.util.List;
import org.radishpass.records.ConfigurationChange;

/**
 * The result of an operator's write.
 *
 * @since 0.1.0
 */
public sealed interface WriteResult {
    /**
     * The write was accepted.
     *
     * @param revision the revision after the write
     * @param changes the changes that the write made; empty if all records had the written values already
     * @since 0.1.0
     */
    record Accepted(long revision, List<ConfigurationChange> changes) implements WriteResult {}

    /**
     * The write conflicted with another one; nothing was written.
     *
     * @param expected the revision that the operator saw
     * @param actual the current revision
     * @since 0.1.0
     */
    record Conflict(long expected, long actual) implements WriteResult {}

    /**
     * The store refused the write or could not be reached; nothing was written.
     *
     * @param detail the reason
     * @since 0.1.0
     */
    record Refused(String detail) implements WriteResult {}

    /**
     * The outcome is unknown: the store did not respond and reading back did not show the write. The write may have
     * been accepted.
     *
     * @param detail the reason
     * @since 0.1.0
     */
    record Unknown(String detail) implements WriteResult {}
}
