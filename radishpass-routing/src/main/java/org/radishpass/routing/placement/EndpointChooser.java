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
import org.radishpass.routing.performance.EndpointPerformance;
import org.radishpass.routing.performance.PlacementEstimate;

/**
 * Chooses the endpoint of a request. Confined to the traffic thread.
 *
 * <p>Requests whose prompts have the same shared parts go to the same endpoint, by rendezvous hashing of these parts.
 * Routers thus agree without exchanging messages. An endpoint that has reached the load limit is skipped for the next
 * in the rendezvous ranking, which is told from which endpoint to fetch the cached prompt. All other requests go to the
 * endpoint with the fewest requests in flight per slot.
 *
 * <p>Where the endpoints of a service differ in speed, requests are placed by the expected time to the first event
 * instead. A prompt then moves to the second endpoint of its ranking if it is served sooner there, including the time
 * to read its shared parts.
 *
 * @since 0.2.0
 */
public final class EndpointChooser {
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
    private final EndpointPerformance performance = new EndpointPerformance();
    private final SpeedPlacement speedPlacement = new SpeedPlacement(performance);
    private final Candidates candidates = new Candidates();
    private @Nullable PromptDescription lastPrompt;
    private long lastPromptKey;
    private long movedPrompts;

    /**
     * Creates a chooser without a history of prompts.
     *
     * @param inFlight the work in flight
     * @param localDataCentre the data centre of this router, preferred among equally loaded endpoints
     */
    public EndpointChooser(InFlightTracker inFlight, DataCentre localDataCentre) {
        this.inFlight = inFlight;
        this.localDataCentre = localDataCentre;
    }

    /**
     * Returns the speed of the endpoints and the method of placement.
     *
     * @since 0.8.0
     */
    public EndpointPerformance performance() {
        return performance;
    }

    /**
     * Returns how often the second endpoint in the ranking of a prompt was chosen because it was expected to be faster.
     *
     * @since 0.8.0
     */
    public long movedPrompts() {
        return movedPrompts;
    }

    /**
     * Chooses the endpoint of a request; empty if there are no candidates.
     *
     * @param query the candidates and the properties of the request
     */
    public Optional<PlacementChoice> choose(PlacementQuery query) {
        if (query.candidates().isEmpty()) {
            return Optional.empty();
        }
        PromptDescription prompt = query.prompt().orElse(null);
        boolean uneven = performance.uneven(query.candidates(), query.nowMillis());
        if (prompt != null && prompt.sharedParts() > 0) {
            return Optional.of(chooseByPrompt(query, prompt, uneven));
        }
        PromptTokens tokens = PromptTokens.of(prompt);
        return Optional.of(uneven ? chooseBySpeed(query, tokens) : chooseByLoad(query, tokens));
    }

    private PlacementChoice chooseByPrompt(PlacementQuery query, PromptDescription prompt, boolean uneven) {
        long key = key(prompt);
        PromptTokens tokens = PromptTokens.of(prompt);
        candidates.load(query.candidates(), inFlight);
        candidates.rank(key);
        double limit = limit(query);
        int first = candidates.firstWithinLimit(limit, Candidates.NONE);
        int index = first;
        if (first != Candidates.NONE && uneven) {
            index = fasterOf(first, query, key, tokens, limit);
        }
        ServiceEndpoint chosen =
                index == Candidates.NONE ? leastLoaded(candidatesToCompare(query)) : candidates.endpoint(index);
        int rank = candidates.rankOf(key, chosen);
        boolean sentRecently = promptHistory.sentRecently(key, chosen, query.nowMillis());
        ServiceEndpoint holder = sentRecently ? null : probableCacheHolder(query, key, chosen, uneven);
        int tokensToRead = tokens.toRead(rank == 0 || sentRecently);
        PlacementEstimate estimate = uneven && index != Candidates.NONE
                ? speedPlacement.estimateForPrompt(candidates, index, tokensToRead, query.nowMillis())
                : PlacementEstimate.withoutTime(tokensToRead);
        return new PlacementChoice(
                chosen,
                rank,
                requestsInFlight(chosen),
                limit,
                query.candidates().size(),
                holder,
                estimate);
    }

    private double limit(PlacementQuery query) {
        return Math.min(
                LoadLimit.PROMPT_AFFINITY.requests(candidates.requestSum() + 1, candidates.size()),
                LoadLimit.PROMPT_AFFINITY_WHOLE_SERVICE.requests(query.wholeService(), inFlight));
    }

    /**
     * Returns the faster of the first two endpoints in the ranking of a prompt. Only these two are compared, so that all
     * routers agree and the parts are cached at two endpoints at most, while the prompts of a slow endpoint spread over
     * all others.
     */
    private int fasterOf(int first, PlacementQuery query, long key, PromptTokens tokens, double limit) {
        int second = candidates.firstWithinLimit(limit, first);
        if (second == Candidates.NONE) {
            return first;
        }
        long nowMillis = query.nowMillis();
        boolean firstIsHome = candidates.rankOf(key, candidates.endpoint(first)) == 0;
        boolean cachedAtFirst = firstIsHome || promptHistory.sentRecently(key, candidates.endpoint(first), nowMillis);
        boolean cachedAtSecond = promptHistory.sentRecently(key, candidates.endpoint(second), nowMillis);
        boolean atSecond = candidates.endpoint(second).id().equals(promptHistory.recentEndpoint(key, nowMillis));
        boolean chooseSecond = atSecond
                ? !speedPlacement.moves(candidates, second, first, tokens, cachedAtSecond, cachedAtFirst, nowMillis)
                : speedPlacement.moves(candidates, first, second, tokens, cachedAtFirst, cachedAtSecond, nowMillis);
        if (chooseSecond) {
            movedPrompts++;
        }
        return chooseSecond ? second : first;
    }

    /** Returns the hash of the shared parts of a prompt, which is computed once for the placements of one request. */
    private long key(PromptDescription prompt) {
        if (!prompt.equals(lastPrompt)) {
            lastPromptKey = prompt.chainHash(prompt.sharedParts());
            lastPrompt = prompt;
        }
        return lastPromptKey;
    }

    /**
     * Records that a request was sent: its endpoint probably caches the shared parts of the prompt from now on.
     * Choosing an endpoint records nothing, since the request may never be sent to the chosen endpoint.
     *
     * @param prompt the prompt of the request
     * @param endpoint the endpoint to which the request was sent
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(PromptDescription prompt, ServiceEndpoint endpoint, long nowMillis) {
        if (prompt.sharedParts() > 0) {
            promptHistory.sent(key(prompt), endpoint, nowMillis);
        }
    }

    private ServiceEndpoint leastLoaded(List<ServiceEndpoint> compared) {
        ServiceEndpoint least = compared.get(0);
        for (ServiceEndpoint endpoint : compared) {
            if (requestsInFlight(endpoint) < requestsInFlight(least)) {
                least = endpoint;
            }
        }
        return least;
    }

    /**
     * Guesses which other endpoint caches the shared parts of the prompt: the endpoint to which this router last sent
     * them, or else the first in the rendezvous ranking. A wrong guess costs one query between engines and transfers no
     * data.
     */
    private @Nullable ServiceEndpoint probableCacheHolder(
            PlacementQuery query, long key, ServiceEndpoint chosen, boolean recentOnly) {
        String last = recentOnly
                ? promptHistory.recentEndpoint(key, query.nowMillis())
                : promptHistory.lastEndpoint(key).orElse(null);
        ServiceEndpoint first = null;
        long firstRank = 0;
        for (ServiceEndpoint endpoint : query.cacheSources()) {
            if (endpoint.id().equals(chosen.id())) {
                continue;
            }
            if (endpoint.id().equals(last)) {
                return endpoint;
            }
            long rank = Rendezvous.mix(key, endpoint.hash());
            if (first == null || rank > firstRank) {
                first = endpoint;
                firstRank = rank;
            }
        }
        return first;
    }

    private PlacementChoice chooseBySpeed(PlacementQuery query, PromptTokens tokens) {
        candidates.load(query.candidates(), inFlight);
        double limit = LoadLimit.PROMPT_AFFINITY_WHOLE_SERVICE.requests(query.wholeService(), inFlight);
        int index = speedPlacement.choose(candidates, query, tokens.whole(), limit);
        ServiceEndpoint chosen = candidates.endpoint(index);
        return new PlacementChoice(
                chosen,
                0,
                candidates.requests(index),
                chosen.slots(),
                candidates.size(),
                null,
                speedPlacement.estimate(candidates, index, tokens.whole(), query.nowMillis()));
    }

    private PlacementChoice chooseByLoad(PlacementQuery query, PromptTokens tokens) {
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
                PlacementEstimate.withoutTime(tokens.whole()));
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

    private int requestsInFlight(ServiceEndpoint endpoint) {
        return inFlight.at(endpoint.id()).requests();
    }
}
