package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.load.LoadBound;
import org.radishpass.core.load.SlotAnswer;

/**
 * Remembers for a moment which endpoints have just denied a slot, so that a surge does not ask them again each time.
 *
 * <p>What is remembered only changes the order of asking: an endpoint that was left out is asked when no other has room.
 *
 * @since 0.1.0
 */
final class DenialMemory {
    private static final Duration MEMORY = Duration.ofMillis(300);

    private final ConcurrentHashMap<Key, Instant> until = new ConcurrentHashMap<>();
    private final Clock clock;

    DenialMemory(Clock clock) {
        this.clock = clock;
    }

    /** Notes what an endpoint answered. */
    void note(Endpoint endpoint, PlaceRequest request, SlotOffer offer) {
        if (offer.answer() == SlotAnswer.OVER_BOUND || offer.answer() == SlotAnswer.FULL) {
            until.put(key(endpoint, request), clock.instant().plus(MEMORY));
        }
    }

    /** Returns the endpoints that have not just denied a request like this. */
    List<Endpoint> without(List<Endpoint> endpoints, PlaceRequest request) {
        if (until.isEmpty()) {
            return endpoints;
        }
        Instant now = clock.instant();
        until.values().removeIf(end -> !end.isAfter(now));
        return endpoints.stream()
                .filter(endpoint -> !until.containsKey(key(endpoint, request)))
                .toList();
    }

    private static Key key(Endpoint endpoint, PlaceRequest request) {
        return new Key(endpoint.id(), request.priority(), request.bound());
    }

    private record Key(String endpointId, PriorityClass priority, LoadBound bound) {}
}
