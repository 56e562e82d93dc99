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
import org.radishpass.core.load.LocalLoadLimiter;
import org.radishpass.core.load.PoolLoad;
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
    private final LocalLoadLimiter localLimiter = new LocalLoadLimiter();
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

    /** Returns a new slot id, unique within this router. */
    public long nextSlotId() {
        return lastSlotId.incrementAndGet();
    }

    /**
     * Requests a slot at an endpoint from the endpoint's owner.
     *
     * @param slotId the id of the new slot
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
        localLimiter.started(endpoint.id());
    }

    /**
     * Counts a request as ended and releases its slot, if a slot is held.
     *
     * @param slotId the id of the slot
     * @param endpoint the endpoint that received the request
     */
    public void release(long slotId, Endpoint endpoint) {
        localLimiter.ended(endpoint.id());
        HeldSlot slot = heldSlots.remove(slotId);
        if (slot == null) {
            return;
        }
        control.snapshot().owner(endpoint.id()).ifPresent(owner -> sendRelease(owner, slotId, endpoint));
    }

    /**
     * Returns the number of this router's own requests that run at an endpoint.
     *
     * @param endpointId the id of the endpoint
     */
    public int running(String endpointId) {
        return localLimiter.running(endpointId);
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
        if (unconfirmed && !allowedLocally(endpoint, request)) {
            owner.ifPresent(vm -> sendRelease(vm, slotId, endpoint));
            return SlotResult.OVER_OWN_BOUND;
        }
        if (result.allowsSending()) {
            localLimiter.started(endpoint.id());
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

    private boolean allowedLocally(Endpoint endpoint, PlaceRequest request) {
        List<Endpoint> accepting = control.snapshot().fleet().acceptingEndpoints(request.pool());
        PoolLoad localPoolLoad = PoolLoad.NONE;
        for (Endpoint member : accepting) {
            localPoolLoad = localPoolLoad.plus(new PoolLoad(localLimiter.running(member.id()), member.weight()));
        }
        LoadBound bound = request.bound();
        return localLimiter.allows(endpoint.id(), endpoint.weight(), localPoolLoad, bound);
    }

    private int millisUntil(Instant deadline) {
        long remaining = Duration.between(clock.instant(), deadline).toMillis();
        return (int) Math.max(0, Math.min(remaining, Integer.MAX_VALUE));
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
