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
 * Keeps, for a short time, which endpoints have denied a slot, so that a load surge does not repeat slot requests.
 *
 * <p>A denial may change only the order of the candidates: an endpoint that was left out must still be asked for a slot
 * if no other endpoint has one free.
 *
 * @since 0.1.0
 */
final class RecentDenials {
    private static final Duration RETENTION = Duration.ofMillis(300);

    private final ConcurrentHashMap<Key, Instant> expiryByKey = new ConcurrentHashMap<>();
    private final Clock clock;

    RecentDenials(Clock clock) {
        this.clock = clock;
    }

    /** Records the result of a slot request, if the result is a denial because of load. */
    void recordResult(Endpoint endpoint, PlaceRequest request, SlotResult result) {
        if (result.answer() == SlotAnswer.OVER_BOUND || result.answer() == SlotAnswer.FULL) {
            expiryByKey.put(key(endpoint, request), clock.instant().plus(RETENTION));
        }
    }

    /** Returns the endpoints without those that recently denied a request of the same class and load bound. */
    List<Endpoint> withoutDenied(List<Endpoint> endpoints, PlaceRequest request) {
        if (expiryByKey.isEmpty()) {
            return endpoints;
        }
        Instant now = clock.instant();
        expiryByKey.values().removeIf(end -> !end.isAfter(now));
        return endpoints.stream()
                .filter(endpoint -> !expiryByKey.containsKey(key(endpoint, request)))
                .toList();
    }

    private static Key key(Endpoint endpoint, PlaceRequest request) {
        return new Key(endpoint.id(), request.priority(), request.bound());
    }

    private record Key(String endpointId, PriorityClass priority, LoadBound bound) {}
}
