package org.radishpass.records;

import java.time.Instant;

/**
 * One committed change of the configuration.
 *
 * @param revision the revision that the change created
 * @param token the unique token of the write, by which a writer recognizes its own change
 * @param author the name of the person or program that made the change
 * @param at the time of the change by the writer's clock
 * @param recordAfter the record after the change
 * @since 0.1.0
 */
public record ConfigurationChange(long revision, String token, String author, Instant at, StoredRecord recordAfter) {}
