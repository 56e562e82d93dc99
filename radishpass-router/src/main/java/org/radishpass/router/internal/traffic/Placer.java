package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.load.SlotAnswer;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.placement.PlacementPolicy;
import org.radishpass.core.placement.PlacementRequest;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.control.RouterSnapshot;
import reactor.core.publisher.Mono;

/**
 * Finds an endpoint for a request and holds a slot there.
 *
 * @since 0.1.0
 */
public final class Placer {
    private static final int MOST_TRIES = 16;
    private static final int FIRST_PAUSE_MILLIS = 15;
    private static final int MOST_PAUSE_MILLIS = 200;

    private final AtomicLong sequence = new AtomicLong();
    private final ConcurrentHashMap<String, AtomicInteger> waiting = new ConcurrentHashMap<>();
    private final DenialMemory denials;
    private final RouterControl control;
    private final SlotClient slots;
    private final PassiveHealth health;
    private final Clock clock;

    /**
     * Creates a placer.
     *
     * @param control the router's control state
     * @param slots reserves slots
     * @param health what has just failed
     * @param clock tells the time
     */
    public Placer(RouterControl control, SlotClient slots, PassiveHealth health, Clock clock) {
        this.control = control;
        this.slots = slots;
        this.health = health;
        this.clock = clock;
        this.denials = new DenialMemory(clock);
    }

    /**
     * Places a request; it ends in a {@link RefusedException} if there is no room by the deadline.
     *
     * @param request what is to be placed
     * @param trace is told of each endpoint that was asked
     */
    public Mono<Placed> place(PlaceRequest request, PlacementTrace trace) {
        return Mono.defer(() -> round(request, trace, FIRST_PAUSE_MILLIS));
    }

    /**
     * Gives up a place.
     *
     * @param placed the place
     */
    public void release(Placed placed) {
        slots.release(placed.slotId(), placed.endpoint());
    }

    private Mono<Placed> round(PlaceRequest request, PlacementTrace trace, int pauseMillis) {
        RouterSnapshot snapshot = control.snapshot();
        PlacementPolicy policy = snapshot.configuration().policy();
        List<Endpoint> ranked = rank(policy, request, snapshot);
        if (ranked.isEmpty()) {
            return Mono.error(
                    RefusedException.notRun(RefusalCode.NO_ENDPOINT, "no endpoint serves " + request.pool() + " now"));
        }
        if (!policy.bounded()) {
            Endpoint first = ranked.get(0);
            slots.startedWithoutSlot(first);
            return Mono.just(new Placed(first, slots.nextSlotId()));
        }
        return tryFrom(0, ranked, request, trace).switchIfEmpty(Mono.defer(() -> later(request, trace, pauseMillis)));
    }

    private List<Endpoint> rank(PlacementPolicy policy, PlaceRequest request, RouterSnapshot snapshot) {
        List<Endpoint> open = health.narrowed(snapshot.fleet().open(request.pool()));
        if (!request.excluded().isEmpty()) {
            open = open.stream()
                    .filter(endpoint -> !request.excluded().contains(endpoint.id()))
                    .toList();
        }
        return policy.rank(new PlacementRequest(
                open,
                request.workspace(),
                request.chat(),
                request.spread(),
                request.affinity(),
                MOST_TRIES,
                control::reportedLoad,
                sequence.getAndIncrement(),
                ThreadLocalRandom.current()));
    }

    private Mono<Placed> tryFrom(int index, List<Endpoint> ranked, PlaceRequest request, PlacementTrace trace) {
        if (index >= Math.min(ranked.size(), MOST_TRIES)) {
            return Mono.empty();
        }
        Endpoint endpoint = ranked.get(index);
        long slotId = slots.nextSlotId();
        return slots.reserve(slotId, endpoint, request).flatMap(offer -> {
            trace.asked(endpoint.id(), offer);
            if (offer.mayGo()) {
                return Mono.just(new Placed(endpoint, slotId));
            }
            denials.note(endpoint, request, offer);
            if (offer.answer() == SlotAnswer.CLOSED) {
                health.failed(endpoint.id());
            }
            return tryFrom(index + 1, ranked, request, trace);
        });
    }

    private Mono<Placed> later(PlaceRequest request, PlacementTrace trace, int pauseMillis) {
        Duration left = Duration.between(clock.instant(), request.deadline());
        if (left.toMillis() <= pauseMillis) {
            return Mono.error(RefusedException.notRun(RefusalCode.OVERLOADED, "no endpoint had room by the deadline"));
        }
        AtomicInteger count = waiting.computeIfAbsent(request.workspace(), name -> new AtomicInteger());
        if (count.incrementAndGet() > request.queued()) {
            count.decrementAndGet();
            return Mono.error(RefusedException.notRun(
                    RefusalCode.OVERLOADED, "no endpoint has room and the workspace's queue is full"));
        }
        int jittered = pauseMillis / 2 + ThreadLocalRandom.current().nextInt(pauseMillis);
        return Mono.delay(Duration.ofMillis(jittered))
                .doFinally(signal -> count.decrementAndGet())
                .flatMap(tick -> round(request, trace, Math.min(MOST_PAUSE_MILLIS, pauseMillis * 2)));
    }
}
