package org.radishpass.tables.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.radishpass.tables.table.TableResult;
import org.radishpass.tables.table.TableRow;
import org.radishpass.tables.table.TableService;
import org.radishpass.tables.table.TableTransaction;
import reactor.core.publisher.Mono;

/** A table in memory whose writes fail as a test says, one after another. */
public final class FakeTables implements TableService {
    private final TreeMap<String, TableRow> rows = new TreeMap<>();
    private final Deque<Fault> faults = new ArrayDeque<>();
    private final List<TableTransaction> late = new ArrayList<>();
    private long lastVersion;
    private int writes;
    private boolean out;

    /** How a write fails. */
    public enum Fault {
        /** It does not. */
        NONE,
        /** It takes effect and its answer is lost. */
        ANSWER_LOST,
        /** It is lost on the way. */
        REQUEST_LOST,
        /** Its answer is lost and it takes effect later. */
        LATE,
        /** It is refused. */
        REFUSED
    }

    /**
     * Sets how the next writes fail.
     *
     * @param next a fault for each
     */
    public void nextWrites(Fault... next) {
        faults.addAll(List.of(next));
    }

    /**
     * Starts or ends an outage.
     *
     * @param isOut whether nothing answers
     */
    public void out(boolean isOut) {
        this.out = isOut;
    }

    /** Lets the writes that are late take effect. */
    public void deliverLate() {
        late.forEach(this::commit);
        late.clear();
    }

    /** Returns how many writes were asked for. */
    public int writes() {
        return writes;
    }

    @Override
    public Mono<TableResult> transact(TableTransaction transaction) {
        return Mono.fromCallable(() -> answer(transaction));
    }

    private TableResult answer(TableTransaction transaction) {
        if (out) {
            return new TableResult.Unknown("an outage");
        }
        if (!transaction.writing()) {
            return commit(transaction);
        }
        writes++;
        Fault fault = faults.isEmpty() ? Fault.NONE : faults.removeFirst();
        return switch (fault) {
            case NONE -> commit(transaction);
            case ANSWER_LOST -> {
                commit(transaction);
                yield new TableResult.Unknown("the answer was lost");
            }
            case REQUEST_LOST -> new TableResult.Unknown("the request was lost");
            case LATE -> {
                late.add(transaction);
                yield new TableResult.Unknown("the request is late");
            }
            case REFUSED -> new TableResult.Refused("the rate limit");
        };
    }

    private TableResult commit(TableTransaction transaction) {
        for (TableTransaction.Check check : transaction.checks()) {
            if (row(check.key()).version() != check.version()) {
                return new TableResult.Conflict(check.key());
            }
        }
        lastVersion++;
        for (TableTransaction.Write write : transaction.writes()) {
            if (write.value() == null) {
                rows.remove(write.key());
            } else {
                rows.put(write.key(), new TableRow(write.key(), lastVersion, write.value()));
            }
        }
        List<TableRow> read = transaction.reads().stream().map(this::row).toList();
        return new TableResult.Committed(
                read, transaction.scans().stream().map(this::scan).toList());
    }

    private TableRow row(String key) {
        return rows.getOrDefault(key, new TableRow(key, 0, null));
    }

    private List<TableRow> scan(TableTransaction.Scan scan) {
        return rows.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(scan.prefix()))
                .filter(entry -> entry.getKey().compareTo(scan.after()) > 0)
                .limit(scan.limit())
                .map(Map.Entry::getValue)
                .toList();
    }
}
