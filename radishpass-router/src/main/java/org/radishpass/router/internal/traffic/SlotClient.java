package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.load.LoadBound;
import org.radishpass.core.load.PoolLoad;
import org.radishpass.core.load.SliverBound;
import org.radishpass.core.load.SlotAnswer;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.control.RouterSnapshot;
import reactor.core.publisher.Mono;

/**
 * Reserves and releases slots at the routers that own the endpoints.
 *
 * <p>If an owner does not reply in time, the router applies the load bound to its own share of the traffic instead.
 *
 * @since 0.1.0
 */
public final class SlotClient {
    private static final Duration OWNER_TIMEOUT = Duration.ofMillis(250);
    private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(30);

    private final ConcurrentHashMap<Long, HeldSlot> heldSlots = new ConcurrentHashMap<>();
    private final AtomicLong lastSlotId = new AtomicLong();
    private final SliverBound ownLoad = new SliverBound();
    private final RouterControl control;
    private final Clock clock;

    /**
     * Creates a client.
     *
     * @param control the router's control state
     * @param clock the source of the current time
     */
    public SlotClient(RouterControl control, Clock clock) {
        this.control = control;
        this.clock = clock;
        control.onFleetChange(this::announceToNewOwners);
    }

    /** Returns a new slot ID, unique within this router. */
    public long nextSlotId() {
        return lastSlotId.incrementAndGet();
    }

    /**
     * Requests a slot at an endpoint from the endpoint's owner.
     *
     * @param slotId the ID of the new slot
     * @param endpoint the endpoint
     * @param request the request to place
     */
    public Mono<SlotResult> reserve(long slotId, Endpoint endpoint, PlaceRequest request) {
        RouterSnapshot snapshot = control.snapshot();
        Optional<Vm> owner = snapshot.owner(endpoint.id());
        Instant expiresAt = request.deadline().plus(EXPIRY_MARGIN);
        PeerMessage.SlotWanted wanted = new PeerMessage.SlotWanted(
                slotId,
                endpoint.id(),
                request.pool(),
                request.priority(),
                (float) request.bound().multiple(),
                millisUntil(expiresAt));
        return requestSlot(owner, wanted)
                .map(reply -> new SlotResult(reply.answer(), reply.running(), reply.limit()))
                .onErrorReturn(SlotResult.UNCONFIRMED)
                .map(result -> applyResult(result, slotId, endpoint, request, owner, expiresAt));
    }

    /**
     * Counts a request that is sent without a slot, so that this router's own load at each endpoint stays correct.
     *
     * @param endpoint the endpoint that receives the request
     */
    public void startedWithoutSlot(Endpoint endpoint) {
        ownLoad.started(endpoint.id());
    }

    /**
     * Counts a request as ended and releases its slot, if a slot is held.
     *
     * @param slotId the ID of the slot
     * @param endpoint the endpoint that received the request
     */
    public void release(long slotId, Endpoint endpoint) {
        ownLoad.ended(endpoint.id());
        HeldSlot slot = heldSlots.remove(slotId);
        if (slot == null) {
            return;
        }
        control.snapshot().owner(endpoint.id()).ifPresent(owner -> sendRelease(owner, slotId, endpoint));
    }

    /**
     * Returns the number of this router's own requests that run at an endpoint.
     *
     * @param endpointId the ID of the endpoint
     */
    public int running(String endpointId) {
        return ownLoad.running(endpointId);
    }

    private Mono<PeerMessage.SlotReply> requestSlot(Optional<Vm> owner, PeerMessage.SlotWanted wanted) {
        if (owner.isEmpty()) {
            return Mono.error(new IllegalStateException("no owner is known"));
        }
        Mono<PeerMessage> reply = owner.get().id().equals(control.id())
                ? control.reserveLocally(wanted)
                : control.peers().request(owner.get(), wanted, OWNER_TIMEOUT);
        return reply.cast(PeerMessage.SlotReply.class);
    }

    private SlotResult applyResult(
            SlotResult result,
            long slotId,
            Endpoint endpoint,
            PlaceRequest request,
            Optional<Vm> owner,
            Instant expiresAt) {
        boolean unconfirmed = result.answer() == SlotAnswer.UNCONFIRMED;
        if (unconfirmed && !allowedByOwnLoad(endpoint, request)) {
            owner.ifPresent(vm -> sendRelease(vm, slotId, endpoint));
            return SlotResult.OVER_OWN_BOUND;
        }
        if (result.allowsSending()) {
            ownLoad.started(endpoint.id());
            String ownerId = owner.map(Vm::id).orElse("");
            heldSlots.put(slotId, new HeldSlot(endpoint.id(), request.priority(), expiresAt, ownerId));
        }
        return result;
    }

    private void sendRelease(Vm owner, long slotId, Endpoint endpoint) {
        PeerMessage.SlotFreed freed = new PeerMessage.SlotFreed(slotId, endpoint.id());
        if (owner.id().equals(control.id())) {
            control.releaseLocally(freed);
        } else {
            control.peers().send(owner, freed);
        }
    }

    private boolean allowedByOwnLoad(Endpoint endpoint, PlaceRequest request) {
        List<Endpoint> open = control.snapshot().fleet().open(request.pool());
        PoolLoad ownPoolLoad = PoolLoad.NONE;
        for (Endpoint member : open) {
            ownPoolLoad = ownPoolLoad.plus(new PoolLoad(ownLoad.running(member.id()), member.weight()));
        }
        LoadBound bound = request.bound();
        return ownLoad.allows(endpoint.id(), endpoint.weight(), ownPoolLoad, bound);
    }

    private int millisUntil(Instant deadline) {
        long left = Duration.between(clock.instant(), deadline).toMillis();
        return (int) Math.max(0, Math.min(left, Integer.MAX_VALUE));
    }

    private void announceToNewOwners() {
        RouterSnapshot snapshot = control.snapshot();
        heldSlots.forEach((slotId, slot) -> snapshot.owner(slot.endpointId()).ifPresent(owner -> {
            if (!owner.id().equals(slot.ownerId())) {
                heldSlots.replace(slotId, slot, slot.withOwner(owner.id()));
                announce(owner, slotId, slot);
            }
        }));
    }

    private void announce(Vm owner, long slotId, HeldSlot slot) {
        PeerMessage.SlotHeld message =
                new PeerMessage.SlotHeld(slotId, slot.endpointId(), slot.priority(), millisUntil(slot.expiresAt()));
        if (owner.id().equals(control.id())) {
            control.adoptLocally(message);
        } else {
            control.peers().send(owner, message);
        }
    }

    private record HeldSlot(String endpointId, PriorityClass priority, Instant expiresAt, String ownerId) {
        private HeldSlot withOwner(String newOwnerId) {
            return new HeldSlot(endpointId, priority, expiresAt, newOwnerId);
        }
    }
}
