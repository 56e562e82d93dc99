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
 * Chooses an endpoint for a request and reserves a slot there.
 *
 * @since 0.1.0
 */
public final class Placer {
    private static final int MAX_CANDIDATES = 16;
    private static final int INITIAL_BACKOFF_MILLIS = 15;
    private static final int MAX_BACKOFF_MILLIS = 200;

    private final AtomicLong sequence = new AtomicLong();
    private final ConcurrentHashMap<String, AtomicInteger> waitingByWorkspace = new ConcurrentHashMap<>();
    private final RecentDenials denials;
    private final RouterControl control;
    private final SlotClient slotClient;
    private final PassiveHealth health;
    private final GracefulStop gracefulStop;
    private final Clock clock;

    /**
     * Creates a placer.
     *
     * @param control the router's control state
     * @param slotClient reserves and releases slots
     * @param health the endpoints at which requests recently failed
     * @param gracefulStop decides which requests are taken while the router stops
     * @param clock the source of the current time
     */
    Placer(RouterControl control, SlotClient slotClient, PassiveHealth health, GracefulStop gracefulStop, Clock clock) {
        this.control = control;
        this.slotClient = slotClient;
        this.health = health;
        this.gracefulStop = gracefulStop;
        this.clock = clock;
        this.denials = new RecentDenials(clock);
    }

    /**
     * Places a request. While no endpoint has a free slot, the placement is retried with increasing pauses.
     *
     * @param request the request to place
     * @param trace receives the result of each slot request
     * @return the placement, or a {@link RefusedException} if no slot becomes free by the deadline, or if the request
     *     may outlast this router, which stops
     */
    public Mono<Placement> place(PlaceRequest request, PlacementTrace trace) {
        return Mono.defer(() -> placeOrRetry(request, trace, INITIAL_BACKOFF_MILLIS));
    }

    /**
     * Releases the slot of a placement.
     *
     * @param placement the placement
     */
    public void release(Placement placement) {
        slotClient.release(placement.slotId(), placement.endpoint());
    }

    private Mono<Placement> placeOrRetry(PlaceRequest request, PlacementTrace trace, int pauseMillis) {
        gracefulStop.requireAccepted(request.deadline());
        RouterSnapshot snapshot = control.snapshot();
        PlacementPolicy policy = snapshot.configuration().policy();
        List<Endpoint> ranked = rank(policy, request, snapshot);
        if (ranked.isEmpty()) {
            return Mono.error(
                    RefusedException.notRun(RefusalCode.NO_ENDPOINT, "no endpoint serves " + request.pool() + " now"));
        }
        if (!policy.bounded()) {
            Endpoint first = ranked.get(0);
            slotClient.startedWithoutSlot(first);
            return Mono.just(new Placement(first, slotClient.nextSlotId()));
        }
        return tryFrom(0, ranked, request, trace)
                .switchIfEmpty(Mono.defer(() -> retryLater(request, trace, pauseMillis)));
    }

    private List<Endpoint> rank(PlacementPolicy policy, PlaceRequest request, RouterSnapshot snapshot) {
        List<Endpoint> accepting = health.withoutFailing(snapshot.fleet().acceptingEndpoints(request.pool()));
        if (!request.excluded().isEmpty()) {
            accepting = accepting.stream()
                    .filter(endpoint -> !request.excluded().contains(endpoint.id()))
                    .toList();
        }
        return policy.rank(new PlacementRequest(
                accepting,
                request.workspace(),
                request.chat(),
                request.spread(),
                request.affinity(),
                MAX_CANDIDATES,
                control::reportedLoad,
                sequence.getAndIncrement(),
                ThreadLocalRandom.current()));
    }

    private Mono<Placement> tryFrom(int index, List<Endpoint> ranked, PlaceRequest request, PlacementTrace trace) {
        if (index >= Math.min(ranked.size(), MAX_CANDIDATES)) {
            return Mono.empty();
        }
        Endpoint endpoint = ranked.get(index);
        long slotId = slotClient.nextSlotId();
        return slotClient.reserve(slotId, endpoint, request).flatMap(result -> {
            trace.onSlotResult(endpoint.id(), result);
            if (result.allowsSending()) {
                return Mono.just(new Placement(endpoint, slotId));
            }
            denials.recordResult(endpoint, request, result);
            if (result.answer() == SlotAnswer.CLOSED) {
                health.recordFailure(endpoint.id());
            }
            return tryFrom(index + 1, ranked, request, trace);
        });
    }

    private Mono<Placement> retryLater(PlaceRequest request, PlacementTrace trace, int pauseMillis) {
        Duration timeLeft = Duration.between(clock.instant(), request.deadline());
        if (timeLeft.toMillis() <= pauseMillis) {
            return Mono.error(RefusedException.notRun(RefusalCode.OVERLOADED, "no endpoint had room by the deadline"));
        }
        AtomicInteger waiting = waitingByWorkspace.computeIfAbsent(request.workspace(), name -> new AtomicInteger());
        if (waiting.incrementAndGet() > request.maxQueued()) {
            waiting.decrementAndGet();
            return Mono.error(RefusedException.notRun(
                    RefusalCode.OVERLOADED, "no endpoint has room and the workspace's queue is full"));
        }
        int jitteredMillis = pauseMillis / 2 + ThreadLocalRandom.current().nextInt(pauseMillis);
        return Mono.delay(Duration.ofMillis(jitteredMillis))
                .doFinally(signal -> waiting.decrementAndGet())
                .flatMap(tick -> placeOrRetry(request, trace, Math.min(MAX_BACKOFF_MILLIS, pauseMillis * 2)));
    }
}
