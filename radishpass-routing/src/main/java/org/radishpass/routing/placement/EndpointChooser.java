package org.radishpass.routing.placement;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.dialect.PromptShape;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.InFlightBook;
import org.radishpass.routing.load.LoadLimit;

/**
 * Chooses the endpoint of a request. Belongs to the traffic thread.
 *
 * <p>Requests that share the parts of their prompts meet at the same endpoint by rendezvous on these parts, so that
 * routers agree without a word; an endpoint above the load limit is passed over for the next in rank, which is told where
 * it can fetch the prompt's cache from. Other requests go where the least work is in flight.
 *
 * @since 0.2.0
 */
public final class EndpointChooser {
    /** What another data centre weighs, in requests: it decides among endpoints that are equally full. */
    private static final double DISTANCE_COST = 0.5;

    /** What chance weighs, in requests: it decides only among equals. */
    private static final double CHANCE_COST = 0.25;

    /** Routers up to which everyone tells everyone, so that the least loaded endpoint of all is known well enough. */
    private static final int SURE_ROUTERS = 16;

    private static final double UNIT = 0x1.0p-53;
    private static final int UNUSED_BITS = 11;

    private final InFlightBook book;
    private final DataCentre home;
    private final PromptMemory memory = new PromptMemory();

    /**
     * Creates a chooser.
     *
     * @param book the work in flight
     * @param home where this router stands; preferred among equals
     */
    public EndpointChooser(InFlightBook book, DataCentre home) {
        this.book = book;
        this.home = home;
    }

    /**
     * Chooses.
     *
     * @param query what it is chosen by
     */
    public Optional<PlacementChoice> choose(PlacementQuery query) {
        if (query.candidates().isEmpty()) {
            return Optional.empty();
        }
        Optional<PromptShape> prompt = query.prompt().filter(shape -> shape.sharedParts() > 0);
        return Optional.of(prompt.isPresent() ? byPrompt(query, prompt.get()) : byLoad(query));
    }

    private PlacementChoice byPrompt(PlacementQuery query, PromptShape prompt) {
        long key = prompt.chainHash(prompt.sharedParts());
        double limit = Math.min(
                LoadLimit.CHATS.requests(query.candidates(), book),
                LoadLimit.WHOLE_SERVICE.requests(query.wholeService(), book));
        ServiceEndpoint chosen = firstWithRoom(query.candidates(), key, limit);
        if (chosen == null) {
            chosen = leastLoaded(compared(query));
        }
        int rank = passedOver(query.candidates(), key, chosen);
        ServiceEndpoint holder = memory.holds(key, chosen, query.nowMillis()) ? null : holder(query, key, chosen);
        return new PlacementChoice(
                chosen, rank, requests(chosen), limit, query.candidates().size(), holder);
    }

    /**
     * Notes that a request was sent: from now on its endpoint probably holds the shared parts of its prompt. A choice alone
     * does not say so, since it may come to nothing.
     *
     * @param prompt the request's prompt
     * @param endpoint where it was sent
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(PromptShape prompt, ServiceEndpoint endpoint, long nowMillis) {
        if (prompt.sharedParts() > 0) {
            memory.sent(prompt.chainHash(prompt.sharedParts()), endpoint, nowMillis);
        }
    }

    private @Nullable ServiceEndpoint firstWithRoom(List<ServiceEndpoint> candidates, long key, double limit) {
        ServiceEndpoint best = null;
        for (ServiceEndpoint endpoint : candidates) {
            if (requests(endpoint) + 1 <= limit && (best == null || ranksBefore(key, endpoint, best))) {
                best = endpoint;
            }
        }
        return best;
    }

    private ServiceEndpoint leastLoaded(List<ServiceEndpoint> candidates) {
        ServiceEndpoint least = candidates.get(0);
        for (ServiceEndpoint endpoint : candidates) {
            if (requests(endpoint) < requests(least)) {
                least = endpoint;
            }
        }
        return least;
    }

    private static int passedOver(List<ServiceEndpoint> candidates, long key, ServiceEndpoint chosen) {
        int before = 0;
        for (ServiceEndpoint endpoint : candidates) {
            if (ranksBefore(key, endpoint, chosen)) {
                before++;
            }
        }
        return before;
    }

    /**
     * Guesses which other endpoint holds the prompt's shared parts: the one that it was sent to last from here, or the
     * first in rank beside the chosen one. A wrong guess costs a question between engines and moves nothing.
     */
    private @Nullable ServiceEndpoint holder(PlacementQuery query, long key, ServiceEndpoint chosen) {
        String last = memory.lastEndpoint(key).orElse("");
        ServiceEndpoint first = null;
        for (ServiceEndpoint endpoint : query.cacheSources()) {
            if (endpoint.id().equals(chosen.id())) {
                continue;
            }
            if (endpoint.id().equals(last)) {
                return endpoint;
            }
            if (first == null || ranksBefore(key, endpoint, first)) {
                first = endpoint;
            }
        }
        return first;
    }

    private PlacementChoice byLoad(PlacementQuery query) {
        List<ServiceEndpoint> compared = compared(query);
        ServiceEndpoint best = compared.get(0);
        double bestCost = Double.MAX_VALUE;
        for (ServiceEndpoint endpoint : compared) {
            double cost = cost(endpoint, query.requestHash());
            if (cost < bestCost) {
                best = endpoint;
                bestCost = cost;
            }
        }
        return new PlacementChoice(
                best, 0, requests(best), best.slots(), query.candidates().size(), null);
    }

    private static List<ServiceEndpoint> compared(PlacementQuery query) {
        return query.routers() > SURE_ROUTERS ? drawn(query.candidates(), query.requestHash()) : query.candidates();
    }

    /** Draws two by chance: in a large fleet all would send to the least loaded before they hear that the others did. */
    private static List<ServiceEndpoint> drawn(List<ServiceEndpoint> candidates, long requestHash) {
        int size = candidates.size();
        if (size <= 2) {
            return candidates;
        }
        int first = Math.floorMod(requestHash, size);
        int step = 1 + Math.floorMod(Rendezvous.mix(requestHash, size), size - 1);
        return List.of(candidates.get(first), candidates.get((first + step) % size));
    }

    /** Fullness first; among equally full ones the own data centre, then chance. */
    private double cost(ServiceEndpoint endpoint, long requestHash) {
        double chance = (Rendezvous.mix(requestHash, endpoint.hash()) >>> UNUSED_BITS) * UNIT;
        double distance = endpoint.dataCentre().equals(home) ? 0 : DISTANCE_COST;
        return (requests(endpoint) + distance + CHANCE_COST * chance) / Math.max(1, endpoint.slots());
    }

    private static boolean ranksBefore(long key, ServiceEndpoint one, ServiceEndpoint other) {
        return Rendezvous.mix(key, one.hash()) > Rendezvous.mix(key, other.hash());
    }

    private int requests(ServiceEndpoint endpoint) {
        return book.at(endpoint.id()).requests();
    }
}
