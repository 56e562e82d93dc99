package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.SpareRoom;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.placement.PlacementQuery;

/** Finds the endpoints that may be given a request now, and has one chosen among them. */
final class RequestPlacer {
    /**
     * Milliseconds within which an endpoint must have been heard of to be given a request that has failed elsewhere: what
     * broke the first may have cut off others too. Engines at work send events at least that often.
     */
    private static final long SURELY_ALIVE_MILLIS = 150;

    private final TrafficTools tools;

    RequestPlacer(TrafficTools tools) {
        this.tools = tools;
    }

    /**
     * Finds out where a request could go that waits at an endpoint; empty while the others have no room for it.
     *
     * @param terms its terms
     * @param tried the endpoints that it was given to before
     * @param waitsAt where it waits
     */
    Optional<PlacementChoice> another(Terms terms, List<String> tried, ServiceEndpoint waitsAt) {
        if (!othersHaveRoom(waitsAt)) {
            return Optional.empty();
        }
        List<String> all = new ArrayList<>(tried);
        all.add(waitsAt.id());
        return place(terms, all, true);
    }

    /**
     * Tells whether the other endpoints of a service could do the work of one; not while most of them look bad, since the fault is
     * then hardly this one's.
     *
     * @param endpoint the one
     */
    boolean othersHaveRoom(ServiceEndpoint endpoint) {
        long nowMillis = tools.nowMillis();
        List<ServiceEndpoint> open = tools.filter().open(endpoint.service());
        List<ServiceEndpoint> others = new ArrayList<>(tools.health().usable(open, nowMillis));
        others.removeIf(other -> other.id().equals(endpoint.id()));
        return !tools.health().doubtful(open, nowMillis) && SpareRoom.at(others, tools.book());
    }

    /**
     * Tells whether a request may still be sent where it was placed, and counts it where only a few may be: connections take a while to
     * be made, and the operator's word may have come meanwhile.
     *
     * @param terms its terms
     * @param chosen where it was placed
     */
    boolean stillOpen(Terms terms, ServiceEndpoint chosen) {
        EndpointFilter filter = tools.filter();
        long nowMillis = tools.nowMillis();
        return filter.stillOpen(terms, chosen)
                && tools.coldGuard().takes(chosen, () -> usable(filter, terms, nowMillis), terms, nowMillis);
    }

    /**
     * Returns when the first endpoint takes requests again that could run a request but is in backoff, on the monotonic clock in
     * milliseconds; empty if there is none.
     *
     * @param terms its terms
     * @param tried the endpoints that it was given to before
     */
    OptionalLong soonestBackoffEnd(Terms terms, List<String> tried) {
        return tools.filter().inBackoff(terms).stream()
                .map(ServiceEndpoint::id)
                .filter(id -> !tried.contains(id))
                .mapToLong(tools.signals().backoffs()::untilMillis)
                .min();
    }

    /**
     * Tells whether an endpoint would take a request that has failed at another one: if none does, the answer that there is goes to the caller.
     *
     * @param terms its terms
     * @param history where it was sent before
     * @param failed the endpoint at which it has failed
     */
    boolean anotherTakes(Terms terms, SendHistory history, ServiceEndpoint failed) {
        List<String> tried = new ArrayList<>(history.triedEndpoints());
        tried.add(failed.id());
        return place(terms, tried, true).filter(choice -> !terms.full(choice)).isPresent();
    }

    private List<ServiceEndpoint> usable(EndpointFilter filter, Terms terms, long nowMillis) {
        return tools.health().usable(filter.open(terms), nowMillis);
    }

    /**
     * Places a request.
     *
     * @param terms its terms
     * @param tried the endpoints that it was given to before
     * @param sentBefore whether it was sent before
     */
    Optional<PlacementChoice> place(Terms terms, List<String> tried, boolean sentBefore) {
        long nowMillis = tools.nowMillis();
        EndpointFilter filter = tools.filter();
        List<ServiceEndpoint> candidates =
                new ArrayList<>(tools.coldGuard().admitted(usable(filter, terms, nowMillis), terms, nowMillis));
        candidates.removeIf(endpoint -> tried.contains(endpoint.id()));
        if (sentBefore) {
            candidates = tools.health().heardLately(candidates, SURELY_ALIVE_MILLIS, nowMillis);
        }
        List<ServiceEndpoint> sources = tools.health().reachable(filter.cacheSources(terms), nowMillis);
        return tools.chooser()
                .choose(new PlacementQuery(
                        candidates,
                        tools.health().usable(filter.staying(terms.service()), nowMillis),
                        sources,
                        terms.prompt(),
                        Rendezvous.hash(terms.requestId()),
                        tools.view().routers(),
                        nowMillis));
    }
}
