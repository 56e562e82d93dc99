package org.radishpass.records;

import java.time.Instant;

/**
 * One accepted change of the configuration.
 *
 * @param revision the revision that it made
 * @param token unique to the write; its writer knows its own change by it
 * @param author who wrote it
 * @param at when, by the writer's clock
 * @param recordAfter the record as the change left it
 * @since 0.1.0
 */
public record ConfigurationChange(long revision, String token, String author, Instant at, StoredRecord recordAfter) {}
