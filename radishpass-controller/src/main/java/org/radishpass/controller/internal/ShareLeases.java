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
 * The leases that decide which endpoints of a data centre this controller may send orders to.
 *
 * <p>The endpoints are divided into shares by the hash of their id, and each share has one lease. Each acquisition
 * increases the epoch of the lease, which orders carry as a fencing token.
 *
 * <p>All leases that are due are renewed in one transaction. If the reply to a renewal is lost, the lease still runs
 * from the last renewal that was confirmed, and the next round reads the stored state again. Instances are modified on
 * the control thread only; {@link #epochFor} may be called from any thread.
 *
 * @since 0.1.0
 */
final class ShareLeases {
    /** The number of shares that the endpoints of a data centre are divided into. */
    static final int SHARE_COUNT = 4;

    private static final Logger LOG = LoggerFactory.getLogger(ShareLeases.class);
    private static final String KEY_PREFIX = "lease/";

    private final Map<Integer, HeldLease> heldLeases = new ConcurrentHashMap<>();
    private final String holder;
    private final DataCentre dataCentre;
    private final TableService tables;
    private final LeaseRules rules;
    private final Clock clock;
    private final LongSupplier nanoTime;

    ShareLeases(
            String holder,
            DataCentre dataCentre,
            TableService tables,
            LeaseRules rules,
            Clock clock,
            LongSupplier nanoTime) {
        this.holder = holder;
        this.dataCentre = dataCentre;
        this.tables = tables;
        this.rules = rules;
        this.clock = clock;
        this.nanoTime = nanoTime;
    }

    /** Returns the number of the share that an endpoint belongs to, from 0. */
    static int shareOf(String endpointId) {
        return (int) Math.floorMod(Rendezvous.hash(endpointId), (long) SHARE_COUNT);
    }

    /** Returns the epoch to send with an order to an endpoint, or nothing if no order may be sent now. */
    OptionalLong epochFor(String endpointId) {
        HeldLease lease = heldLeases.get(shareOf(endpointId));
        if (lease == null || !rules.maySendOrder(lease.requestedAtNanos(), nanoTime.getAsLong())) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(lease.epoch());
    }

    /** Returns the numbers of all held shares, including those whose lease is too close to its end to send orders. */
    Set<Integer> heldShares() {
        return Set.copyOf(heldLeases.keySet());
    }

    /** Renews leases that are due, and acquires free ones up to this controller's equal part of the shares. */
    Mono<Void> runRound() {
        return tables.transact(readAllTransaction()).flatMap(result -> {
            if (!(result instanceof TableResult.Committed committed)) {
                return Mono.empty();
            }
            return acquireAndRenew(committed.rows());
        });
    }

    /** Releases all leases, so that other controllers can acquire them before they expire. */
    Mono<Void> releaseAll() {
        return tables.transact(readAllTransaction()).flatMap(result -> {
            if (!(result instanceof TableResult.Committed committed)) {
                return Mono.empty();
            }
            TableTransaction.Builder writes = TableTransaction.builder();
            for (int share = 0; share < SHARE_COUNT; share++) {
                TableRow row = committed.rows().get(share);
                Lease lease = lease(row);
                if (lease.holder().equals(holder)) {
                    writes.check(row.key(), row.version());
                    writes.put(row.key(), json(new Lease("", lease.epoch(), lease.deadline())));
                }
            }
            heldLeases.clear();
            TableTransaction transaction = writes.build();
            return transaction.writing() ? tables.transact(transaction).then() : Mono.empty();
        });
    }

    private TableTransaction readAllTransaction() {
        TableTransaction.Builder reads = TableTransaction.builder();
        for (int share = 0; share < SHARE_COUNT; share++) {
            reads.read(key(share));
        }
        return reads.build();
    }

    private Mono<Void> acquireAndRenew(List<TableRow> rows) {
        Instant now = clock.instant();
        long requestedAt = nanoTime.getAsLong();
        int maxShares = maxSharesPerController(rows, now);
        TableTransaction.Builder writes = TableTransaction.builder();
        Map<Integer, HeldLease> requestedLeases = new HashMap<>();
        for (int share = 0; share < SHARE_COUNT; share++) {
            TableRow row = rows.get(share);
            Lease lease = lease(row);
            boolean isHolder = lease.holder().equals(holder);
            if (!isHolder) {
                heldLeases.remove(share);
            }
            if (shouldAcquireOrRenew(lease, isHolder, share, requestedLeases.size(), maxShares, now, requestedAt)) {
                long epoch = isHolder && heldLeases.containsKey(share) ? lease.epoch() : lease.epoch() + 1;
                writes.check(row.key(), row.version());
                writes.put(row.key(), json(new Lease(holder, epoch, rules.deadlineFrom(now))));
                requestedLeases.put(share, new HeldLease(epoch, requestedAt));
            }
        }
        TableTransaction transaction = writes.build();
        if (!transaction.writing()) {
            return Mono.empty();
        }
        return tables.transact(transaction)
                .doOnNext(result -> recordResult(result, requestedLeases))
                .then();
    }

    private boolean shouldAcquireOrRenew(
            Lease lease, boolean isHolder, int share, int requestedSoFar, int maxShares, Instant now, long nowNanos) {
        HeldLease heldLease = heldLeases.get(share);
        if (isHolder && heldLease != null) {
            return rules.dueForRenewal(heldLease.requestedAtNanos(), nowNanos);
        }
        boolean belowMaxShares = heldLeases.size() + requestedSoFar < maxShares;
        return belowMaxShares && (isHolder || rules.mayTake(lease, now));
    }

    private int maxSharesPerController(List<TableRow> rows, Instant now) {
        Set<String> holders = new HashSet<>();
        holders.add(holder);
        for (TableRow row : rows) {
            Lease lease = lease(row);
            if (!rules.mayTake(lease, now)) {
                holders.add(lease.holder());
            }
        }
        return (SHARE_COUNT + holders.size() - 1) / holders.size();
    }

    private void recordResult(TableResult result, Map<Integer, HeldLease> requestedLeases) {
        if (result instanceof TableResult.Committed) {
            requestedLeases.forEach((share, lease) -> {
                if (heldLeases.put(share, lease) == null) {
                    LOG.info("acquired the lease of share {} of {} with epoch {}", share, dataCentre, lease.epoch());
                }
            });
        } else {
            LOG.debug("the lease transaction was not committed, the next round reads the leases again: {}", result);
        }
    }

    private String key(int share) {
        return KEY_PREFIX + dataCentre.name() + '/' + share;
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
            throw new IllegalStateException("a stored lease cannot be parsed: " + e.getOriginalMessage(), e);
        }
    }

    private record HeldLease(long epoch, long requestedAtNanos) {}
}
