package org.radishpass.routing.placement;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.InFlightTracker;
import org.radishpass.routing.load.LoadLimit;
import org.radishpass.routing.performance.PlacementEstimate;

/**
 * The rules of release 0.7 for endpoints that do not differ, with which {@link EndpointChooser} must agree. They are kept
 * in their plain form, without the optimisations of that class.
 */
final class ReferenceChooser {
    /** The cost of another data centre, in requests in flight: it decides among equally loaded endpoints. */
    private static final double REMOTE_DATA_CENTRE_COST = 0.5;

    /**
     * The maximum of the random cost, in requests in flight: it decides only among endpoints of otherwise equal cost.
     */
    private static final double MAX_RANDOM_COST = 0.25;

    /**
     * The maximum number of routers with which all candidates are compared. Up to it, every router reports its work to
     * every other, so that the least loaded endpoint is known well enough.
     */
    private static final int MAX_ROUTERS_FOR_FULL_SCAN = 16;

    private static final double UNIT_INTERVAL_SCALE = 0x1.0p-53;
    private static final int UNUSED_BITS = 11;

    private final InFlightTracker inFlight;
    private final DataCentre localDataCentre;
    private final PromptPlacementHistory promptHistory = new PromptPlacementHistory();

    /**
     * Creates a chooser without a history of prompts.
     *
     * @param inFlight the work in flight
     * @param localDataCentre the data centre of this router, preferred among equally loaded endpoints
     */
    ReferenceChooser(InFlightTracker inFlight, DataCentre localDataCentre) {
        this.inFlight = inFlight;
        this.localDataCentre = localDataCentre;
    }

    /**
     * Chooses the endpoint of a request; empty if there are no candidates.
     *
     * @param query the candidates and the properties of the request
     */
    Optional<PlacementChoice> choose(PlacementQuery query) {
        if (query.candidates().isEmpty()) {
            return Optional.empty();
        }
        Optional<PromptDescription> prompt = query.prompt().filter(description -> description.sharedParts() > 0);
        return Optional.of(prompt.isPresent() ? chooseByPrompt(query, prompt.get()) : chooseByLoad(query));
    }

    private PlacementChoice chooseByPrompt(PlacementQuery query, PromptDescription prompt) {
        long key = prompt.chainHash(prompt.sharedParts());
        double limit = Math.min(
                LoadLimit.PROMPT_AFFINITY.requests(query.candidates(), inFlight),
                LoadLimit.PROMPT_AFFINITY_WHOLE_SERVICE.requests(query.wholeService(), inFlight));
        ServiceEndpoint chosen = firstWithinLimit(query.candidates(), key, limit);
        if (chosen == null) {
            chosen = leastLoaded(candidatesToCompare(query));
        }
        int rank = rankOf(query.candidates(), key, chosen);
        ServiceEndpoint holder = promptHistory.sentRecently(key, chosen, query.nowMillis())
                ? null
                : probableCacheHolder(query, key, chosen);
        return new PlacementChoice(
                chosen,
                rank,
                requestsInFlight(chosen),
                limit,
                query.candidates().size(),
                holder,
                PlacementEstimate.withoutTime(0));
    }

    /**
     * Records that a request was sent: its endpoint probably caches the shared parts of the prompt from now on.
     * Choosing an endpoint records nothing, since the request may never be sent to the chosen endpoint.
     *
     * @param prompt the prompt of the request
     * @param endpoint the endpoint to which the request was sent
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    void sent(PromptDescription prompt, ServiceEndpoint endpoint, long nowMillis) {
        if (prompt.sharedParts() > 0) {
            promptHistory.sent(prompt.chainHash(prompt.sharedParts()), endpoint, nowMillis);
        }
    }

    private @Nullable ServiceEndpoint firstWithinLimit(List<ServiceEndpoint> candidates, long key, double limit) {
        ServiceEndpoint best = null;
        for (ServiceEndpoint endpoint : candidates) {
            if (requestsInFlight(endpoint) + 1 <= limit && (best == null || ranksBefore(key, endpoint, best))) {
                best = endpoint;
            }
        }
        return best;
    }

    private ServiceEndpoint leastLoaded(List<ServiceEndpoint> candidates) {
        ServiceEndpoint least = candidates.get(0);
        for (ServiceEndpoint endpoint : candidates) {
            if (requestsInFlight(endpoint) < requestsInFlight(least)) {
                least = endpoint;
            }
        }
        return least;
    }

    private static int rankOf(List<ServiceEndpoint> candidates, long key, ServiceEndpoint chosen) {
        int higherRanked = 0;
        for (ServiceEndpoint endpoint : candidates) {
            if (ranksBefore(key, endpoint, chosen)) {
                higherRanked++;
            }
        }
        return higherRanked;
    }

    /**
     * Guesses which other endpoint caches the shared parts of the prompt: the endpoint to which this router last sent
     * them, or else the first in the rendezvous ranking. A wrong guess costs one query between engines and transfers no
     * data.
     */
    private @Nullable ServiceEndpoint probableCacheHolder(PlacementQuery query, long key, ServiceEndpoint chosen) {
        String last = promptHistory.lastEndpoint(key).orElse("");
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

    private PlacementChoice chooseByLoad(PlacementQuery query) {
        List<ServiceEndpoint> compared = candidatesToCompare(query);
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
                best,
                0,
                requestsInFlight(best),
                best.slots(),
                query.candidates().size(),
                null,
                PlacementEstimate.withoutTime(0));
    }

    private static List<ServiceEndpoint> candidatesToCompare(PlacementQuery query) {
        return query.routers() > MAX_ROUTERS_FOR_FULL_SCAN
                ? pickTwo(query.candidates(), query.requestHash())
                : query.candidates();
    }

    /**
     * Picks two candidates at random. In a large fleet all routers would send requests to the least loaded endpoint
     * before they learn that the others did the same.
     */
    private static List<ServiceEndpoint> pickTwo(List<ServiceEndpoint> candidates, long requestHash) {
        int size = candidates.size();
        if (size <= 2) {
            return candidates;
        }
        int first = Math.floorMod(requestHash, size);
        int step = 1 + Math.floorMod(Rendezvous.mix(requestHash, size), size - 1);
        return List.of(candidates.get(first), candidates.get((first + step) % size));
    }

    /** Returns the requests in flight per slot; prefers the local data centre, then a random endpoint, among equals. */
    private double cost(ServiceEndpoint endpoint, long requestHash) {
        double random = (Rendezvous.mix(requestHash, endpoint.hash()) >>> UNUSED_BITS) * UNIT_INTERVAL_SCALE;
        double distance = endpoint.dataCentre().equals(localDataCentre) ? 0 : REMOTE_DATA_CENTRE_COST;
        return (requestsInFlight(endpoint) + distance + MAX_RANDOM_COST * random) / Math.max(1, endpoint.slots());
    }

    private static boolean ranksBefore(long key, ServiceEndpoint one, ServiceEndpoint other) {
        return Rendezvous.mix(key, one.hash()) > Rendezvous.mix(key, other.hash());
    }

    private int requestsInFlight(ServiceEndpoint endpoint) {
        return inFlight.at(endpoint.id()).requests();
    }
}
