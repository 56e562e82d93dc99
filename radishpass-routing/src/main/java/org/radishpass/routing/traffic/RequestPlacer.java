package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.SpareCapacity;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.placement.PlacementQuery;

/** Determines the endpoints that a request may be sent to now, and has one of them chosen. */
final class RequestPlacer {
    /**
     * Milliseconds within which an endpoint must have sent bytes to receive a request that failed at another endpoint,
     * since the same fault may affect more than one. Engines send events at least this often while requests are in
     * flight.
     */
    private static final long RECENT_ACTIVITY_MILLIS = 150;

    private final TrafficContext context;

    RequestPlacer(TrafficContext context) {
        this.context = context;
    }

    /**
     * Chooses another endpoint for a request that is waiting for a response; empty while the other endpoints have no
     * capacity.
     *
     * @param terms the terms of the request
     * @param tried the endpoints that the request was sent to before
     * @param waitsAt the endpoint whose response is awaited
     */
    Optional<PlacementChoice> alternative(RequestTerms terms, List<String> tried, ServiceEndpoint waitsAt) {
        if (!othersHaveCapacity(waitsAt)) {
            return Optional.empty();
        }
        List<String> excluded = new ArrayList<>(tried);
        excluded.add(waitsAt.id());
        return place(terms, excluded, true);
    }

    /**
     * Tells whether the other endpoints of the service could take over the requests of an endpoint. False while most
     * endpoints of the service appear unhealthy, since the cause is then hardly this endpoint.
     *
     * @param endpoint the endpoint
     */
    boolean othersHaveCapacity(ServiceEndpoint endpoint) {
        long nowMillis = context.nowMillis();
        List<ServiceEndpoint> eligible = context.filter().eligible(endpoint.service());
        List<ServiceEndpoint> others = new ArrayList<>(context.health().usable(eligible, nowMillis));
        others.removeIf(other -> other.id().equals(endpoint.id()));
        return !context.health().mostlyUnhealthy(eligible, nowMillis)
                && SpareCapacity.existsAt(others, context.inFlight());
    }

    /**
     * Tells whether a request may still be sent to the endpoint that was chosen for it. The connection takes time to
     * establish, and the configuration may have changed meanwhile. If the endpoint is cold, the request counts against
     * its limit.
     *
     * @param terms the terms of the request
     * @param chosen the chosen endpoint
     */
    boolean stillEligible(RequestTerms terms, ServiceEndpoint chosen) {
        EndpointFilter filter = context.filter();
        long nowMillis = context.nowMillis();
        return filter.stillEligible(terms, chosen)
                && context.coldGuard().tryAdmit(chosen, () -> usable(filter, terms, nowMillis), terms, nowMillis);
    }

    /**
     * Returns when the first backoff ends of the endpoints that could run the request but are in backoff, on the
     * monotonic clock in milliseconds; empty if there is no such endpoint.
     *
     * @param terms the terms of the request
     * @param tried the endpoints that the request was sent to before
     */
    OptionalLong earliestBackoffEnd(RequestTerms terms, List<String> tried) {
        OptionalLong earliest = OptionalLong.empty();
        for (ServiceEndpoint endpoint : context.filter().inBackoff(terms)) {
            if (!tried.contains(endpoint.id())) {
                long endMillis = context.signals().backoffs().untilMillis(endpoint.id());
                earliest = OptionalLong.of(Math.min(endMillis, earliest.orElse(Long.MAX_VALUE)));
            }
        }
        return earliest;
    }

    /**
     * Tells whether another endpoint would accept a request that failed at an endpoint. If none does, the error
     * response is relayed to the caller.
     *
     * @param terms the terms of the request
     * @param history the previous sends of the request
     * @param failed the endpoint at which the request failed
     */
    boolean hasAlternative(RequestTerms terms, SendHistory history, ServiceEndpoint failed) {
        List<String> tried = new ArrayList<>(history.triedEndpoints());
        tried.add(failed.id());
        return place(terms, tried, true)
                .filter(choice -> !terms.atQueueLimit(choice))
                .isPresent();
    }

    private List<ServiceEndpoint> usable(EndpointFilter filter, RequestTerms terms, long nowMillis) {
        return context.health().usable(filter.eligible(terms), nowMillis);
    }

    /**
     * Chooses an endpoint for a request; empty if there is none.
     *
     * @param terms the terms of the request
     * @param tried the endpoints that the request was sent to before
     * @param sentBefore whether the request was sent before
     */
    Optional<PlacementChoice> place(RequestTerms terms, List<String> tried, boolean sentBefore) {
        long nowMillis = context.nowMillis();
        EndpointFilter filter = context.filter();
        List<ServiceEndpoint> candidates =
                context.coldGuard().admitted(usable(filter, terms, nowMillis), terms, nowMillis);
        if (!tried.isEmpty()) {
            candidates = new ArrayList<>(candidates);
            candidates.removeIf(endpoint -> tried.contains(endpoint.id()));
        }
        if (sentBefore) {
            candidates = context.health().recentlyActive(candidates, RECENT_ACTIVITY_MILLIS, nowMillis);
        }
        List<ServiceEndpoint> sources = context.health().reachable(filter.cacheSources(terms), nowMillis);
        return context.chooser()
                .choose(new PlacementQuery(
                        candidates,
                        context.health().usable(filter.notLeaving(terms.service()), nowMillis),
                        sources,
                        terms.prompt(),
                        Rendezvous.hash(terms.requestId()),
                        context.view().routers(),
                        nowMillis));
    }
}
