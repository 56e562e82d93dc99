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

/** An in-memory table service. Tests set a fault for each of the next writes. */
public final class FakeTables implements TableService {
    private final TreeMap<String, TableRow> rows = new TreeMap<>();
    private final Deque<Fault> faults = new ArrayDeque<>();
    private final List<TableTransaction> delayedWrites = new ArrayList<>();
    private long lastVersion;
    private int writes;
    private boolean outage;

    /** The fault of a write. */
    public enum Fault {
        /** The write succeeds. */
        NONE,
        /** The write takes effect, but its response is lost. */
        ANSWER_LOST,
        /** The write is lost on the way and never takes effect. */
        REQUEST_LOST,
        /** The write gets no response and takes effect only when {@link #commitDelayedWrites} is called. */
        DELAYED,
        /** The service refuses the write. */
        REFUSED
    }

    /**
     * Sets the faults of the next writes; later writes succeed.
     *
     * @param next one fault for each write
     */
    public void setFaultsOfNextWrites(Fault... next) {
        faults.addAll(List.of(next));
    }

    /**
     * Starts or ends an outage.
     *
     * @param hasOutage whether transactions get no response
     */
    public void setOutage(boolean hasOutage) {
        this.outage = hasOutage;
    }

    /** Commits the delayed writes, in the order of their arrival. */
    public void commitDelayedWrites() {
        delayedWrites.forEach(this::commit);
        delayedWrites.clear();
    }

    /** Returns the number of transactions with writes that were received, except during an outage. */
    public int writes() {
        return writes;
    }

    @Override
    public Mono<TableResult> transact(TableTransaction transaction) {
        return Mono.fromCallable(() -> answer(transaction));
    }

    private TableResult answer(TableTransaction transaction) {
        if (outage) {
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
            case DELAYED -> {
                delayedWrites.add(transaction);
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
