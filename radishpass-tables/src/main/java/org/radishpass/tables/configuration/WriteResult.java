package org.radishpass.tables.configuration;

import java.util.List;
import org.radishpass.records.ConfigurationChange;

/**
 * What became of an operator's write.
 *
 * @since 0.1.0
 */
public sealed interface WriteResult {
    /**
     * It was accepted.
     *
     * @param revision the revision after it
     * @param changes the changes that it made; none when all records were so already
     * @since 0.1.0
     */
    record Accepted(long revision, List<ConfigurationChange> changes) implements WriteResult {}

    /**
     * Another write came first; nothing of this one was accepted.
     *
     * @param expected the revision that the operator saw
     * @param actual the revision now
     * @since 0.1.0
     */
    record Conflict(long expected, long actual) implements WriteResult {}

    /**
     * The store refused or could not be reached; nothing was accepted.
     *
     * @param detail why
     * @since 0.1.0
     */
    record Refused(String detail) implements WriteResult {}

    /**
     * No answer could be had, also not by reading back: it may have been accepted.
     *
     * @param detail what happened
     * @since 0.1.0
     */
    record Unknown(String detail) implements WriteResult {}
}
