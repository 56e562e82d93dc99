package org.radishpass.tables.configuration;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.radishpass.records.ConfigurationChange;
import org.radishpass.records.RecordDocument;
import org.radishpass.records.RecordJson;
import org.radishpass.records.RecordKey;
import org.radishpass.records.StoredRecord;
import org.radishpass.records.schema.SchemaConversion;
import org.radishpass.tables.table.TableResult;
import org.radishpass.tables.table.TableRow;
import org.radishpass.tables.table.TableService;
import org.radishpass.tables.table.TableTransaction;
import reactor.core.publisher.Mono;

/**
 * Writes configuration records to the table service. A write is one transaction that changes all its records and the
 * fleet-wide revision, or nothing.
 *
 * <p>Each write has a unique token. If the table service does not respond, the changes are read back, and the token
 * shows whether the write took effect.
 *
 * @since 0.1.0
 */
public final class ConfigurationWriter {
    private static final int MAX_READ_BACKS = 5;
    private static final int MAX_CONFLICT_RETRIES = 20;
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(300);

    private final TableService tables;
    private final ConfigurationStore store;
    private final Clock clock;
    private final Supplier<String> tokens;

    /**
     * Creates a writer.
     *
     * @param tables the table service
     * @param clock the clock for the timestamps of changes
     * @param tokens supplies a unique token for each write
     */
    public ConfigurationWriter(TableService tables, Clock clock, Supplier<String> tokens) {
        this.tables = tables;
        this.store = new ConfigurationStore(tables);
        this.clock = clock;
        this.tokens = tokens;
    }

    /**
     * Creates or updates records.
     *
     * @param documents the records
     * @param author the author of the write
     * @param expected the revision that the operator saw; if empty, any revision
     */
    public Mono<WriteResult> apply(List<RecordDocument> documents, String author, OptionalLong expected) {
        return write(new Edit(documents, List.of(), author, expected, tokens.get()), MAX_CONFLICT_RETRIES);
    }

    /**
     * Deletes records. A deleted record is kept as a tombstone.
     *
     * @param keys the keys of the records
     * @param author the author of the write
     * @param expected the revision that the operator saw; if empty, any revision
     */
    public Mono<WriteResult> delete(List<RecordKey> keys, String author, OptionalLong expected) {
        return write(new Edit(List.of(), keys, author, expected, tokens.get()), MAX_CONFLICT_RETRIES);
    }

    private Mono<WriteResult> write(Edit edit, int conflictRetriesLeft) {
        TableTransaction.Builder read = TableTransaction.builder().read(ConfigurationStore.HEAD);
        edit.keys().forEach(key -> read.read(ConfigurationStore.RECORD_PREFIX + key));
        return tables.transact(read.build()).flatMap(result -> {
            if (!(result instanceof TableResult.Committed current)) {
                return Mono.just(new WriteResult.Refused("the store cannot be read: " + result));
            }
            return attempt(edit, current.rows(), conflictRetriesLeft);
        });
    }

    private Mono<WriteResult> attempt(Edit edit, List<TableRow> rows, int conflictRetriesLeft) {
        TableRow head = rows.get(0);
        long revision = ConfigurationStore.revision(head);
        if (edit.expected().isPresent() && edit.expected().getAsLong() != revision) {
            return Mono.just(new WriteResult.Conflict(edit.expected().getAsLong(), revision));
        }
        List<ConfigurationChange> changes = changes(edit, rows, revision);
        if (changes.isEmpty()) {
            return Mono.just(new WriteResult.Accepted(revision, List.of()));
        }
        long newRevision = revision + changes.size();
        return tables.transact(transaction(head, changes, newRevision)).flatMap(result -> {
            if (result instanceof TableResult.Committed) {
                return Mono.just(new WriteResult.Accepted(newRevision, changes));
            }
            if (result instanceof TableResult.Conflict) {
                return conflictRetriesLeft > 0 ? write(edit, conflictRetriesLeft - 1) : retriesExhausted(revision);
            }
            if (result instanceof TableResult.Refused refused) {
                return Mono.just(new WriteResult.Refused(refused.detail()));
            }
            return readBack(edit, revision, changes, MAX_READ_BACKS);
        });
    }

    private static Mono<WriteResult> retriesExhausted(long revision) {
        return Mono.just(new WriteResult.Conflict(revision, revision + 1));
    }

    private Mono<WriteResult> readBack(Edit edit, long before, List<ConfigurationChange> changes, int attemptsLeft) {
        return store.changesAfter(before)
                .flatMap(found -> {
                    boolean ownWrite =
                            found.stream().anyMatch(change -> change.token().equals(edit.token()));
                    if (ownWrite) {
                        long revision = changes.get(changes.size() - 1).revision();
                        return Mono.<WriteResult>just(new WriteResult.Accepted(revision, changes));
                    }
                    if (!found.isEmpty()) {
                        // Another write has changed the head row, so the version check of this write can no longer
                        // succeed, even if the write arrives late.
                        return write(edit, MAX_CONFLICT_RETRIES);
                    }
                    return retryReadBack(edit, before, changes, attemptsLeft, "no answer, and not seen yet");
                })
                .onErrorResume(
                        StoreUnavailableException.class,
                        error ->
                                retryReadBack(edit, before, changes, attemptsLeft, String.valueOf(error.getMessage())));
    }

    private Mono<WriteResult> retryReadBack(
            Edit edit, long before, List<ConfigurationChange> changes, int attemptsLeft, String detail) {
        if (attemptsLeft == 0) {
            return Mono.just(new WriteResult.Unknown(detail));
        }
        return Mono.delay(READ_BACK_DELAY).flatMap(tick -> readBack(edit, before, changes, attemptsLeft - 1));
    }

    private List<ConfigurationChange> changes(Edit edit, List<TableRow> rows, long revision) {
        List<ConfigurationChange> changes = new ArrayList<>();
        int row = 1;
        for (RecordDocument document : edit.documents()) {
            Optional<StoredRecord> before = stored(rows.get(row++));
            ObjectNode old = before.filter(stored -> !stored.deleted())
                    .map(StoredRecord::spec)
                    .orElseGet(JsonNodeFactory.instance::objectNode);
            ObjectNode spec = SchemaConversion.rewrite(document.kind(), document.version(), document.spec(), old);
            boolean unchanged = before.isPresent() && !before.get().deleted() && spec.equals(old);
            if (!unchanged) {
                changes.add(change(edit, document.key(), false, spec, revision + changes.size() + 1));
            }
        }
        for (RecordKey key : edit.deletions()) {
            Optional<StoredRecord> before = stored(rows.get(row++));
            if (before.isPresent() && !before.get().deleted()) {
                ObjectNode empty = JsonNodeFactory.instance.objectNode();
                changes.add(change(edit, key, true, empty, revision + changes.size() + 1));
            }
        }
        return changes;
    }

    private ConfigurationChange change(Edit edit, RecordKey key, boolean deleted, ObjectNode spec, long revision) {
        StoredRecord after = new StoredRecord(key.kind(), key.name(), revision, deleted, spec);
        return new ConfigurationChange(revision, edit.token(), edit.author(), clock.instant(), after);
    }

    private static Optional<StoredRecord> stored(TableRow row) {
        return row.content().map(value -> ConfigurationStore.convert(value, StoredRecord.class));
    }

    private static TableTransaction transaction(TableRow head, List<ConfigurationChange> changes, long newRevision) {
        TableTransaction.Builder write = TableTransaction.builder().check(ConfigurationStore.HEAD, head.version());
        for (ConfigurationChange change : changes) {
            write.put(
                    ConfigurationStore.recordKey(change.recordAfter()),
                    RecordJson.mapper().valueToTree(change.recordAfter()));
            write.put(
                    ConfigurationStore.changeKey(change.revision()),
                    RecordJson.mapper().valueToTree(change));
        }
        return write.put(ConfigurationStore.HEAD, ConfigurationStore.headValue(newRevision))
                .build();
    }

    /**
     * A requested write.
     *
     * @param documents the records to create or update
     * @param deletions the keys of the records to delete
     * @param author the author of the write
     * @param expected the revision that the operator saw; if empty, any revision
     * @param token the unique token of the write
     */
    private record Edit(
            List<RecordDocument> documents,
            List<RecordKey> deletions,
            String author,
            OptionalLong expected,
            String token) {
        List<RecordKey> keys() {
            List<RecordKey> keys = new ArrayList<>();
            documents.forEach(document -> keys.add(document.key()));
            keys.addAll(deletions);
            return keys;
        }
    }
}
