package org.radishpass.tables.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.radishpass.records.Configuration;
import org.radishpass.records.ConfigurationChange;
import org.radishpass.records.RecordJson;
import org.radishpass.records.StoredRecord;
import org.radishpass.tables.table.TableResult;
import org.radishpass.tables.table.TableRow;
import org.radishpass.tables.table.TableService;
import org.radishpass.tables.table.TableTransaction;
import reactor.core.publisher.Mono;

/**
 * Reads the configuration from the table service.
 *
 * @since 0.1.0
 */
public final class ConfigurationStore {
    /** The key of the head row, which holds the fleet-wide revision. */
    public static final String HEAD = "config/head";

    /** The prefix of the keys of records. */
    public static final String RECORD_PREFIX = "config/record/";

    /** The prefix of the keys of changes. */
    public static final String CHANGE_PREFIX = "config/change/";

    private static final int PAGE_ROWS = 500;
    private static final String REVISION = "revision";

    private final TableService tables;

    /**
     * Creates a reader of the configuration.
     *
     * @param tables the table service
     */
    public ConfigurationStore(TableService tables) {
        this.tables = tables;
    }

    /**
     * Returns the revision in the store. The result fails with {@link StoreUnavailableException} if the store cannot be
     * read.
     */
    public Mono<Long> headRevision() {
        TableTransaction read = TableTransaction.builder().read(HEAD).build();
        return tables.transact(read)
                .flatMap(ConfigurationStore::requireCommitted)
                .map(rows -> revision(rows.rows().get(0)));
    }

    /**
     * Returns the changes after a revision in ascending order, up to the size of one page.
     *
     * @param revision the revision; its own change is not included
     */
    public Mono<List<ConfigurationChange>> changesAfter(long revision) {
        TableTransaction read = TableTransaction.builder()
                .scan(CHANGE_PREFIX, changeKey(revision), PAGE_ROWS)
                .build();
        return tables.transact(read)
                .flatMap(ConfigurationStore::requireCommitted)
                .map(result -> changes(result.scans().get(0)));
    }

    /**
     * Returns the latest changes, the newest first.
     *
     * @param head the newest revision
     * @param count the maximum number of changes
     */
    public Mono<List<ConfigurationChange>> newestChanges(long head, int count) {
        return changesAfter(Math.max(0, head - count)).map(found -> {
            List<ConfigurationChange> reversed = new ArrayList<>(found);
            java.util.Collections.reverse(reversed);
            return reversed;
        });
    }

    /**
     * Returns a consistent snapshot of the whole configuration. The read starts again if the revision changes between
     * two pages.
     */
    public Mono<Configuration> snapshot() {
        return page("", new ArrayList<>(), -1);
    }

    private Mono<Configuration> page(String after, List<StoredRecord> found, long expectedRevision) {
        TableTransaction read = TableTransaction.builder()
                .read(HEAD)
                .scan(RECORD_PREFIX, after, PAGE_ROWS)
                .build();
        return tables.transact(read)
                .flatMap(ConfigurationStore::requireCommitted)
                .flatMap(result -> {
                    long revision = revision(result.rows().get(0));
                    if (expectedRevision >= 0 && revision != expectedRevision) {
                        return page("", new ArrayList<>(), -1);
                    }
                    List<TableRow> rows = result.scans().get(0);
                    rows.forEach(row ->
                            row.content().ifPresent(value -> found.add(convert(value, StoredRecord.class))));
                    if (rows.size() < PAGE_ROWS) {
                        return Mono.just(Configuration.of(revision, found));
                    }
                    return page(rows.get(rows.size() - 1).key(), found, revision);
                });
    }

    static String changeKey(long revision) {
        return CHANGE_PREFIX + String.format(Locale.ROOT, "%012d", revision);
    }

    static String recordKey(StoredRecord stored) {
        return RECORD_PREFIX + stored.key();
    }

    static ObjectNode headValue(long revision) {
        return JsonNodeFactory.instance.objectNode().put(REVISION, revision);
    }

    static long revision(TableRow head) {
        return head.content().map(value -> value.path(REVISION).asLong()).orElse(0L);
    }

    static Mono<TableResult.Committed> requireCommitted(TableResult result) {
        if (result instanceof TableResult.Committed committed) {
            return Mono.just(committed);
        }
        return Mono.error(new StoreUnavailableException(String.valueOf(result)));
    }

    static <T> T convert(JsonNode value, Class<T> type) {
        try {
            return RecordJson.mapper().treeToValue(value, type);
        } catch (JsonProcessingException e) {
            throw new StoreUnavailableException("a row cannot be read: " + e.getOriginalMessage(), e);
        }
    }

    private static List<ConfigurationChange> changes(List<TableRow> rows) {
        List<ConfigurationChange> changes = new ArrayList<>();
        rows.forEach(row -> row.content().ifPresent(value -> changes.add(convert(value, ConfigurationChange.class))));
        return changes;
    }
}
