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
import org.radishpass.core.load.OwnedSlotAccounts;
import org.radishpass.core.load.OwnerSelection;
import org.radishpass.core.load.PoolLoad;
import org.radishpass.core.load.PoolLoadAggregator;
import org.radishpass.core.load.SlotAnswer;
import org.radishpass.core.load.SlotId;
import org.radishpass.core.load.SlotRequest;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.runtime.thread.ControlThread;

/**
 * Keeps the slot accounts of the endpoints that this router owns and the total loads of the pools that it coordinates.
 *
 * <p>The endpoints of a pool may have different owners. Each owner therefore sends the partial load of its own
 * endpoints to the pool's coordinator, which adds up the parts and replies with the total.
 *
 * <p>Confined to the control thread.
 *
 * @since 0.1.0
 */
public final class SlotOwner {
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration PART_LIFETIME = Duration.ofSeconds(3);
    private static final Duration UNCHANGED_RESEND_PERIOD = Duration.ofSeconds(1);

    private final OwnedSlotAccounts accounts = new OwnedSlotAccounts();
    private final PoolLoadAggregator poolLoads = new PoolLoadAggregator();
    private final Map<String, PoolLoad> lastSentParts = new HashMap<>();
    private final String selfId;
    private final ControlThread controlThread;
    private final PeerNode peers;
    private final Clock clock;
    private Instant resendAt = Instant.MIN;
    private List<Endpoint> owned = List.of();

    /**
     * Creates an owner without endpoints.
     *
     * @param selfId the id of this router
     * @param controlThread the control thread
     * @param peers the links to peers
     * @param clock the source of the current time
     */
    public SlotOwner(String selfId, ControlThread controlThread, PeerNode peers, Clock clock) {
        this.selfId = selfId;
        this.controlThread = controlThread;
        this.peers = peers;
        this.clock = clock;
    }

    /** Returns the endpoints that this router owns. */
    public Collection<Endpoint> owned() {
        return owned;
    }

    /** Returns the slot accounts of the owned endpoints. */
    public OwnedSlotAccounts accounts() {
        return accounts;
    }

    /**
     * Recomputes which endpoints this router owns.
     *
     * @param fleet the current view of the fleet
     * @param owners the owner of each endpoint, by the endpoint's id
     */
    public void updateOwnership(FleetView fleet, Map<String, Vm> owners) {
        owned = fleet.endpoints().stream()
                .filter(endpoint -> {
                    Vm owner = owners.get(endpoint.id());
                    return owner != null && owner.id().equals(selfId);
                })
                .toList();
        accounts.setOwnedEndpoints(owned);
    }

    /**
     * Grants or denies a slot at an owned endpoint.
     *
     * @param holder the id of the requesting router
     * @param wanted the requested slot
     */
    public PeerMessage.SlotReply reserve(String holder, PeerMessage.SlotWanted wanted) {
        Instant now = clock.instant();
        LoadBound bound = new LoadBound(wanted.bound());
        SlotRequest request = new SlotRequest(
                new SlotId(holder, wanted.slotId()),
                wanted.priority(),
                bound,
                now.plusMillis(wanted.remainingMillis()));
        SlotAnswer answer = accounts.reserve(wanted.endpointId(), wanted.pool(), request, now);
        int limit = bound.limit(accounts.poolLoad(wanted.pool(), now), 1);
        return new PeerMessage.SlotReply(answer, accounts.running(wanted.endpointId()), limit);
    }

    /**
     * Adds a slot that was granted by the endpoint's previous owner to the accounts.
     *
     * @param holder the id of the router that holds the slot
     * @param held the slot
     */
    public void adopt(String holder, PeerMessage.SlotHeld held) {
        PriorityClass priority = held.priority();
        Instant deadline = clock.instant().plusMillis(held.remainingMillis());
        accounts.adopt(
                held.endpointId(),
                new SlotRequest(new SlotId(holder, held.slotId()), priority, LoadBound.DEFAULT, deadline));
    }

    /**
     * Releases a slot.
     *
     * @param holder the id of the router that held the slot
     * @param freed the slot
     */
    public void release(String holder, PeerMessage.SlotFreed freed) {
        accounts.release(freed.endpointId(), new SlotId(holder, freed.slotId()));
    }

    /**
     * Updates an endpoint's account with the load and capacity that the endpoint reported.
     *
     * @param report the endpoint's report
     */
    public void onReport(EndpointReport report) {
        accounts.report(report.endpointId(), report.running(), report.capacity());
    }

    /**
     * Records an owner's partial pool loads and returns the total load of each of these pools.
     *
     * @param owner the id of the router that sent the parts
     * @param parts the partial loads of that router's endpoints, by pool
     */
    public PeerMessage.PoolTotals addParts(String owner, PeerMessage.PoolParts parts) {
        Instant now = clock.instant();
        List<PeerMessage.PoolSum> totals = new ArrayList<>();
        for (PeerMessage.PoolSum part : parts.parts()) {
            poolLoads.report(part.pool(), owner, new PoolLoad(part.running(), part.weight()), now.plus(PART_LIFETIME));
            PoolLoad total = poolLoads.total(part.pool(), now);
            totals.add(sum(part.pool(), total));
        }
        return new PeerMessage.PoolTotals(totals);
    }

    /**
     * Releases expired slots, then sends this router's partial pool loads to the coordinators to obtain the totals.
     *
     * <p>Unchanged parts are sent less often than changed parts.
     *
     * @param fleet the current view of the fleet
     */
    public void exchange(FleetView fleet) {
        Instant now = clock.instant();
        accounts.expire(now);
        Map<String, PoolLoad> parts = accounts.ownedLoadByPool();
        boolean resendUnchanged = !now.isBefore(resendAt);
        if (resendUnchanged) {
            resendAt = now.plus(UNCHANGED_RESEND_PERIOD);
        }
        Map<Vm, List<PeerMessage.PoolSum>> byCoordinator = new HashMap<>();
        parts.forEach((pool, part) -> {
            if (!resendUnchanged && part.equals(lastSentParts.get(pool))) {
                return;
            }
            Optional<Vm> coordinator = OwnerSelection.poolOwner(pool, fleet.vms());
            coordinator.ifPresent(vm ->
                    byCoordinator.computeIfAbsent(vm, key -> new ArrayList<>()).add(sum(pool, part)));
        });
        lastSentParts.clear();
        lastSentParts.putAll(parts);
        byCoordinator.forEach((vm, sums) -> exchangeWith(vm, new PeerMessage.PoolParts(sums)));
    }

    private static PeerMessage.PoolSum sum(String pool, PoolLoad load) {
        return new PeerMessage.PoolSum(pool, (int) Math.round(load.running()), (float) load.weight());
    }

    private void exchangeWith(Vm coordinator, PeerMessage.PoolParts parts) {
        if (coordinator.id().equals(selfId)) {
            applyTotals(parts, addParts(selfId, parts));
            return;
        }
        peers.request(coordinator, parts, EXCHANGE_TIMEOUT)
                .publishOn(controlThread.scheduler())
                .subscribe(
                        reply -> {
                            if (reply instanceof PeerMessage.PoolTotals totals) {
                                applyTotals(parts, totals);
                            }
                        },
                        error -> lastSentParts.clear());
    }

    private void applyTotals(PeerMessage.PoolParts parts, PeerMessage.PoolTotals totals) {
        Instant now = clock.instant();
        for (int i = 0; i < Math.min(parts.parts().size(), totals.totals().size()); i++) {
            PeerMessage.PoolSum part = parts.parts().get(i);
            PeerMessage.PoolSum total = totals.totals().get(i);
            accounts.recordPoolLoad(
                    part.pool(),
                    new PoolLoad(total.running(), total.weight()),
                    new PoolLoad(part.running(), part.weight()),
                    now);
        }
    }
}
