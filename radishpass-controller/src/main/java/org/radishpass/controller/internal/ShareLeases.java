package org.radishpass.controller.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.lease.Lease;
import org.radishpass.core.lease.LeaseRules;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.records.RecordJson;
import org.radishpass.tables.table.TableResult;
import org.radishpass.tables.table.TableRow;
import org.radishpass.tables.table.TableService;
import org.radishpass.tables.table.TableTransaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * The leases of a data centre's shares: which endpoints this controller may give orders to.
 *
 * <p>All leases that are due are renewed in one transaction. A lost answer is resolved by reading back in the next
 * round: until then the lease counts from the last request whose answer came. Changed on the control thread alone; whether
 * an order may be sent can be asked from any.
 *
 * @since 0.1.0
 */
final class ShareLeases {
    /** The shares of a data centre's endpoints. */
    static final int SHARES = 4;

    private static final Logger LOG = LoggerFactory.getLogger(ShareLeases.class);
    private static final String PREFIX = "lease/";

    private final Map<Integer, Held> held = new ConcurrentHashMap<>();
    private final String holder;
    private final DataCentre dataCentre;
    private final TableService tables;
    private final LeaseRules rules;
    private final Clock clock;
    private final LongSupplier nanos;

    ShareLeases(
            String holder,
            DataCentre dataCentre,
            TableService tables,
            LeaseRules rules,
            Clock clock,
            LongSupplier nanos) {
        this.holder = holder;
        this.dataCentre = dataCentre;
        this.tables = tables;
        this.rules = rules;
        this.clock = clock;
        this.nanos = nanos;
    }

    /** Returns the share that an endpoint belongs to. */
    static int shareOf(String endpointId) {
        return (int) Math.floorMod(Rendezvous.hash(endpointId), (long) SHARES);
    }

    /** Returns the fencing number with which an order may be sent now, if one may. */
    OptionalLong epochFor(String endpointId) {
        Held lease = held.get(shareOf(endpointId));
        if (lease == null || !rules.mayOrder(lease.askedAtNanos(), nanos.getAsLong())) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(lease.epoch());
    }

    /** Returns the shares that are held, whether or not there is still time to order. */
    Set<Integer> heldShares() {
        return Set.copyOf(held.keySet());
    }

    /** Renews what is due, takes what is free and gives up what is more than a fair part. */
    Mono<Void> round() {
        return tables.transact(readAll()).flatMap(result -> {
            if (!(result instanceof TableResult.Committed committed)) {
                return Mono.empty();
            }
            return write(committed.rows());
        });
    }

    /** Gives all leases back, so that others need not wait them out. */
    Mono<Void> giveBack() {
        return tables.transact(readAll()).flatMap(result -> {
            if (!(result instanceof TableResult.Committed committed)) {
                return Mono.empty();
            }
            TableTransaction.Builder write = TableTransaction.builder();
            for (int share = 0; share < SHARES; share++) {
                TableRow row = committed.rows().get(share);
                Lease lease = lease(row);
                if (lease.holder().equals(holder)) {
                    write.check(row.key(), row.version());
                    write.put(row.key(), json(new Lease("", lease.epoch(), lease.deadline())));
                }
            }
            held.clear();
            TableTransaction transaction = write.build();
            return transaction.writing() ? tables.transact(transaction).then() : Mono.empty();
        });
    }

    private TableTransaction readAll() {
        TableTransaction.Builder read = TableTransaction.builder();
        for (int share = 0; share < SHARES; share++) {
            read.read(key(share));
        }
        return read.build();
    }

    private Mono<Void> write(List<TableRow> rows) {
        Instant now = clock.instant();
        long askedAt = nanos.getAsLong();
        int fairPart = fairPart(rows, now);
        TableTransaction.Builder write = TableTransaction.builder();
        Map<Integer, Held> wanted = new HashMap<>();
        for (int share = 0; share < SHARES; share++) {
            TableRow row = rows.get(share);
            Lease lease = lease(row);
            boolean ours = lease.holder().equals(holder);
            if (!ours) {
                held.remove(share);
            }
            if (wanted(lease, ours, share, wanted.size(), fairPart, now, askedAt)) {
                long epoch = ours && held.containsKey(share) ? lease.epoch() : lease.epoch() + 1;
                write.check(row.key(), row.version());
                write.put(row.key(), json(new Lease(holder, epoch, rules.deadlineFrom(now))));
                wanted.put(share, new Held(epoch, askedAt));
            }
        }
        TableTransaction transaction = write.build();
        if (!transaction.writing()) {
            return Mono.empty();
        }
        return tables.transact(transaction)
                .doOnNext(result -> settle(result, wanted))
                .then();
    }

    private boolean wanted(Lease lease, boolean ours, int share, int sofar, int fairPart, Instant now, long nowNanos) {
        Held own = held.get(share);
        if (ours && own != null) {
            return rules.dueForRenewal(own.askedAtNanos(), nowNanos);
        }
        boolean room = held.size() + sofar < fairPart;
        return room && (ours || rules.mayTake(lease, now));
    }

    private int fairPart(List<TableRow> rows, Instant now) {
        Set<String> holders = new HashSet<>();
        holders.add(holder);
        for (TableRow row : rows) {
            Lease lease = lease(row);
            if (!rules.mayTake(lease, now)) {
                holders.add(lease.holder());
            }
        }
        return (SHARES + holders.size() - 1) / holders.size();
    }

    private void settle(TableResult result, Map<Integer, Held> wanted) {
        if (result instanceof TableResult.Committed) {
            wanted.forEach((share, lease) -> {
                if (held.put(share, lease) == null) {
                    LOG.info("took share {} of {} with epoch {}", share, dataCentre, lease.epoch());
                }
            });
        } else {
            LOG.debug("leases were not written: {}", result);
        }
    }

    private String key(int share) {
        return PREFIX + dataCentre.name() + '/' + share;
    }

    private static JsonNode json(Lease lease) {
        return RecordJson.mapper().valueToTree(lease);
    }

    private static Lease lease(TableRow row) {
        return row.content().map(ShareLeases::parse).orElse(Lease.NONE);
    }

    private static Lease parse(JsonNode value) {
        try {
            return RecordJson.mapper().treeToValue(value, Lease.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a lease cannot be read: " + e.getOriginalMessage(), e);
        }
    }

    private record Held(long epoch, long askedAtNanos) {}
}
