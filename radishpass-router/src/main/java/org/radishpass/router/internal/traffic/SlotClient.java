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
 * Reserves and frees slots with the owners of endpoints.
 *
 * <p>When an owner does not answer in time the router goes by the bound on its own part of the traffic.
 *
 * @since 0.1.0
 */
public final class SlotClient {
    private static final Duration OWNER_PATIENCE = Duration.ofMillis(250);
    private static final Duration LAPSE_MARGIN = Duration.ofSeconds(30);

    private final ConcurrentHashMap<Long, Held> held = new ConcurrentHashMap<>();
    private final AtomicLong lastSlot = new AtomicLong();
    private final SliverBound own = new SliverBound();
    private final RouterControl control;
    private final Clock clock;

    /**
     * Creates a client.
     *
     * @param control the router's control state
     * @param clock tells the time
     */
    public SlotClient(RouterControl control, Clock clock) {
        this.control = control;
        this.clock = clock;
        control.onFleetChange(this::tellNewOwners);
    }

    /** Returns the number of a slot that no other slot of this router has. */
    public long nextSlotId() {
        return lastSlot.incrementAndGet();
    }

    /**
     * Asks for a slot.
     *
     * @param slotId the slot
     * @param endpoint the endpoint
     * @param request what is to be placed
     */
    public Mono<SlotOffer> reserve(long slotId, Endpoint endpoint, PlaceRequest request) {
        RouterSnapshot snapshot = control.snapshot();
        Optional<Vm> owner = snapshot.owner(endpoint.id());
        Instant lapse = request.deadline().plus(LAPSE_MARGIN);
        PeerMessage.SlotWanted wanted = new PeerMessage.SlotWanted(
                slotId,
                endpoint.id(),
                request.pool(),
                request.priority(),
                (float) request.bound().multiple(),
                millisUntil(lapse));
        return ask(owner, wanted)
                .map(reply -> new SlotOffer(reply.answer(), reply.running(), reply.limit()))
                .onErrorReturn(SlotOffer.UNCONFIRMED)
                .map(offer -> settle(offer, slotId, endpoint, request, owner, lapse));
    }

    /**
     * Notes a request that goes out without a slot, so that this router's own part stays known.
     *
     * @param endpoint the endpoint
     */
    public void startedWithoutSlot(Endpoint endpoint) {
        own.started(endpoint.id());
    }

    /**
     * Frees a slot, or ends a request that has none.
     *
     * @param slotId the slot
     * @param endpoint the endpoint
     */
    public void release(long slotId, Endpoint endpoint) {
        own.ended(endpoint.id());
        Held slot = held.remove(slotId);
        if (slot == null) {
            return;
        }
        control.snapshot().owner(endpoint.id()).ifPresent(owner -> free(owner, slotId, endpoint));
    }

    /**
     * Returns this router's own requests at an endpoint.
     *
     * @param endpointId the endpoint
     */
    public int running(String endpointId) {
        return own.running(endpointId);
    }

    private Mono<PeerMessage.SlotReply> ask(Optional<Vm> owner, PeerMessage.SlotWanted wanted) {
        if (owner.isEmpty()) {
            return Mono.error(new IllegalStateException("no owner is known"));
        }
        Mono<PeerMessage> answer = owner.get().id().equals(control.id())
                ? control.reserveHere(wanted)
                : control.peers().request(owner.get(), wanted, OWNER_PATIENCE);
        return answer.cast(PeerMessage.SlotReply.class);
    }

    private SlotOffer settle(
            SlotOffer offer, long slotId, Endpoint endpoint, PlaceRequest request, Optional<Vm> owner, Instant lapse) {
        boolean unconfirmed = offer.answer() == SlotAnswer.UNCONFIRMED;
        if (unconfirmed && !allowedByOwnPart(endpoint, request)) {
            owner.ifPresent(vm -> free(vm, slotId, endpoint));
            return SlotOffer.OVER_OWN_BOUND;
        }
        if (offer.mayGo()) {
            own.started(endpoint.id());
            String ownerId = owner.map(Vm::id).orElse("");
            held.put(slotId, new Held(endpoint.id(), request.priority(), lapse, ownerId));
        }
        return offer;
    }

    private void free(Vm owner, long slotId, Endpoint endpoint) {
        PeerMessage.SlotFreed freed = new PeerMessage.SlotFreed(slotId, endpoint.id());
        if (owner.id().equals(control.id())) {
            control.releaseHere(freed);
        } else {
            control.peers().send(owner, freed);
        }
    }

    private boolean allowedByOwnPart(Endpoint endpoint, PlaceRequest request) {
        List<Endpoint> open = control.snapshot().fleet().open(request.pool());
        PoolLoad part = PoolLoad.NONE;
        for (Endpoint member : open) {
            part = part.plus(new PoolLoad(own.running(member.id()), member.weight()));
        }
        LoadBound bound = request.bound();
        return own.allows(endpoint.id(), endpoint.weight(), part, bound);
    }

    private int millisUntil(Instant deadline) {
        long left = Duration.between(clock.instant(), deadline).toMillis();
        return (int) Math.max(0, Math.min(left, Integer.MAX_VALUE));
    }

    private void tellNewOwners() {
        RouterSnapshot snapshot = control.snapshot();
        held.forEach((slotId, slot) -> snapshot.owner(slot.endpointId()).ifPresent(owner -> {
            if (!owner.id().equals(slot.ownerId())) {
                held.replace(slotId, slot, slot.with(owner.id()));
                tell(owner, slotId, slot);
            }
        }));
    }

    private void tell(Vm owner, long slotId, Held slot) {
        PeerMessage.SlotHeld message =
                new PeerMessage.SlotHeld(slotId, slot.endpointId(), slot.priority(), millisUntil(slot.lapse()));
        if (owner.id().equals(control.id())) {
            control.adoptHere(message);
        } else {
            control.peers().send(owner, message);
        }
    }

    private record Held(String endpointId, PriorityClass priority, Instant lapse, String ownerId) {
        private Held with(String newOwnerId) {
            return new Held(endpointId, priority, lapse, newOwnerId);
        }
    }
}
