package org.radishpass.router.internal.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.load.LoadBound;
import org.radishpass.core.load.OwnerSelection;
import org.radishpass.core.load.PoolLedger;
import org.radishpass.core.load.PoolLoad;
import org.radishpass.core.load.SlotAnswer;
import org.radishpass.core.load.SlotBook;
import org.radishpass.core.load.SlotId;
import org.radishpass.core.load.SlotRequest;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.runtime.thread.ControlThread;

/**
 * Keeps the accounts of the endpoints that this router owns and the sums of the pools that fall to it.
 *
 * <p>Confined to the control thread.
 *
 * @since 0.1.0
 */
public final class SlotOwner {
    private static final Duration EXCHANGE_PATIENCE = Duration.ofMillis(500);
    private static final Duration PART_LIFE = Duration.ofSeconds(3);
    private static final Duration REPEAT_UNCHANGED = Duration.ofSeconds(1);

    private final SlotBook book = new SlotBook();
    private final PoolLedger pools = new PoolLedger();
    private final Map<String, PoolLoad> lastParts = new HashMap<>();
    private final String ownId;
    private final ControlThread control;
    private final PeerNode peers;
    private final Clock clock;
    private Instant repeatAt = Instant.MIN;
    private List<Endpoint> owned = List.of();

    /**
     * Creates the accounts.
     *
     * @param ownId this router's machine
     * @param control the control thread
     * @param peers the links to peers
     * @param clock tells the time
     */
    public SlotOwner(String ownId, ControlThread control, PeerNode peers, Clock clock) {
        this.ownId = ownId;
        this.control = control;
        this.peers = peers;
        this.clock = clock;
    }

    /** Returns the endpoints that this router owns. */
    public Collection<Endpoint> owned() {
        return owned;
    }

    /** Returns the accounts. */
    public SlotBook book() {
        return book;
    }

    /**
     * Works out anew what this router owns.
     *
     * @param fleet the picture of the fleet
     * @param owners the owner of each endpoint
     */
    public void fleetChanged(FleetView fleet, Map<String, Vm> owners) {
        owned = fleet.endpoints().stream()
                .filter(endpoint -> {
                    Vm owner = owners.get(endpoint.id());
                    return owner != null && owner.id().equals(ownId);
                })
                .toList();
        book.own(owned);
    }

    /**
     * Answers a request for a slot.
     *
     * @param holder the router that asks
     * @param wanted what it asks
     */
    public PeerMessage.SlotReply reserve(String holder, PeerMessage.SlotWanted wanted) {
        Instant now = clock.instant();
        LoadBound bound = new LoadBound(wanted.bound());
        SlotRequest request = new SlotRequest(
                new SlotId(holder, wanted.slotId()), wanted.priority(), bound, now.plusMillis(wanted.leftMillis()));
        SlotAnswer answer = book.reserve(wanted.endpointId(), wanted.pool(), request, now);
        int limit = bound.limit(book.poolLoad(wanted.pool(), now), 1);
        return new PeerMessage.SlotReply(answer, book.running(wanted.endpointId()), limit);
    }

    /**
     * Takes over a slot.
     *
     * @param holder the router that holds it
     * @param held the slot
     */
    public void adopt(String holder, PeerMessage.SlotHeld held) {
        PriorityClass priority = held.priority();
        Instant deadline = clock.instant().plusMillis(held.leftMillis());
        book.adopt(
                held.endpointId(),
                new SlotRequest(new SlotId(holder, held.slotId()), priority, LoadBound.DEFAULT, deadline));
    }

    /**
     * Frees a slot.
     *
     * @param holder the router that held it
     * @param freed the slot
     */
    public void release(String holder, PeerMessage.SlotFreed freed) {
        book.release(freed.endpointId(), new SlotId(holder, freed.slotId()));
    }

    /**
     * Takes an endpoint's report.
     *
     * @param report the report
     */
    public void reported(EndpointReport report) {
        book.report(report.endpointId(), report.running(), report.capacity());
    }

    /**
     * Adds up parts of pools for an owner.
     *
     * @param owner the owner
     * @param parts its parts
     */
    public PeerMessage.PoolTotals addUp(String owner, PeerMessage.PoolParts parts) {
        Instant now = clock.instant();
        List<PeerMessage.PoolSum> totals = new ArrayList<>();
        for (PeerMessage.PoolSum part : parts.parts()) {
            pools.report(part.pool(), owner, new PoolLoad(part.running(), part.weight()), now.plus(PART_LIFE));
            PoolLoad total = pools.total(part.pool(), now);
            totals.add(sum(part.pool(), total));
        }
        return new PeerMessage.PoolTotals(totals);
    }

    /**
     * Exchanges this owner's parts of pools for the pools' totals, and lets overdue slots lapse.
     *
     * @param fleet the picture of the fleet
     */
    public void exchange(FleetView fleet) {
        Instant now = clock.instant();
        book.expire(now);
        Map<String, PoolLoad> parts = book.parts();
        boolean repeat = !now.isBefore(repeatAt);
        if (repeat) {
            repeatAt = now.plus(REPEAT_UNCHANGED);
        }
        Map<Vm, List<PeerMessage.PoolSum>> byCoordinator = new HashMap<>();
        parts.forEach((pool, part) -> {
            if (!repeat && part.equals(lastParts.get(pool))) {
                return;
            }
            Optional<Vm> coordinator = OwnerSelection.ofPool(pool, fleet.vms());
            coordinator.ifPresent(vm ->
                    byCoordinator.computeIfAbsent(vm, key -> new ArrayList<>()).add(sum(pool, part)));
        });
        lastParts.clear();
        lastParts.putAll(parts);
        byCoordinator.forEach((vm, sums) -> exchangeWith(vm, new PeerMessage.PoolParts(sums)));
    }

    private static PeerMessage.PoolSum sum(String pool, PoolLoad load) {
        return new PeerMessage.PoolSum(pool, (int) Math.round(load.running()), (float) load.weight());
    }

    private void exchangeWith(Vm coordinator, PeerMessage.PoolParts parts) {
        if (coordinator.id().equals(ownId)) {
            takeTotals(parts, addUp(ownId, parts));
            return;
        }
        peers.request(coordinator, parts, EXCHANGE_PATIENCE)
                .publishOn(control.scheduler())
                .subscribe(
                        answer -> {
                            if (answer instanceof PeerMessage.PoolTotals totals) {
                                takeTotals(parts, totals);
                            }
                        },
                        error -> lastParts.clear());
    }

    private void takeTotals(PeerMessage.PoolParts parts, PeerMessage.PoolTotals totals) {
        Instant now = clock.instant();
        for (int i = 0; i < Math.min(parts.parts().size(), totals.totals().size()); i++) {
            PeerMessage.PoolSum part = parts.parts().get(i);
            PeerMessage.PoolSum total = totals.totals().get(i);
            book.total(
                    part.pool(),
                    new PoolLoad(total.running(), total.weight()),
                    new PoolLoad(part.running(), part.weight()),
                    now);
        }
    }
}
