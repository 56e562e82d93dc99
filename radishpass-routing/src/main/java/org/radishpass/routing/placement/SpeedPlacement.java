package org.radishpass.routing.placement;

import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.performance.EndpointPerformance;
import org.radishpass.routing.performance.EndpointSpeed;
import org.radishpass.routing.performance.PlacementEstimate;
import org.radishpass.routing.performance.PlacementMethod;

/** Compares candidates by the expected time to the first event, where endpoints differ in speed. */
final class SpeedPlacement {
    /**
     * The factor by which the time at the present endpoint of a prompt must exceed the time at another endpoint. With
     * 1.25, engines read 4 to 10 percent more tokens of shared parts than with 2, in a model of 78 engines.
     */
    private static final double MOVE_FACTOR = 2;

    /**
     * How often the time to read shared parts counts against moving a prompt, besides the reading for the request
     * itself: other requests that run at the endpoint wait meanwhile.
     */
    private static final double READING_FACTOR = 4;

    private static final double UNIT_INTERVAL_SCALE = 0x1.0p-53;
    private static final int UNUSED_BITS = 11;

    private final EndpointPerformance performance;

    SpeedPlacement(EndpointPerformance performance) {
        this.performance = performance;
    }

    /**
     * Tells whether a prompt moves from its present endpoint to another candidate.
     *
     * @param candidates the candidates
     * @param present the present endpoint of the prompt
     * @param other the other candidate
     * @param prompt the lengths of the prompt
     * @param cachedAtPresent whether the shared parts are probably cached at the present endpoint
     * @param cachedAtOther whether the shared parts are probably cached at the other candidate
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    boolean moves(
            Candidates candidates,
            int present,
            int other,
            PromptTokens prompt,
            boolean cachedAtPresent,
            boolean cachedAtOther,
            long nowMillis) {
        double presentMillis = promptMillis(candidates, present, prompt.toRead(cachedAtPresent), nowMillis);
        double otherMillis = promptMillis(candidates, other, prompt.toRead(cachedAtOther), nowMillis);
        double readingMillis = cachedAtOther
                ? 0
                : performance.readingMillis(candidates.endpoint(other).service(), prompt.shared());
        return presentMillis > MOVE_FACTOR * otherMillis + READING_FACTOR * readingMillis;
    }

    /**
     * Chooses a candidate for a request without shared parts of a prompt: one of those that the method compares, with a
     * probability in inverse proportion to the expected time. The least expected time alone would attract the requests
     * of all routers until they learn of each other's choices, which takes 0.1 to 0.3 s, longer than most of these
     * requests.
     *
     * @param candidates the candidates
     * @param query the request
     * @param tokensToRead the prompt tokens of the request
     * @param limit the maximum number of requests in flight at a candidate
     */
    int choose(Candidates candidates, PlacementQuery query, int tokensToRead, double limit) {
        int size = candidates.size();
        int compared = Math.min(size, performance.method().comparedEndpoints());
        int index = Math.floorMod(query.requestHash(), size);
        int step = stride(query.requestHash(), size);
        int chosen = Candidates.NONE;
        double sum = 0;
        for (int visited = 0; visited < size && (visited < compared || chosen == Candidates.NONE); visited++) {
            if (candidates.requests(index) + 1 <= limit) {
                double weight = 1 / millis(candidates, index, tokensToRead, query.nowMillis());
                sum += weight;
                if (chosen == Candidates.NONE || uniform(query.requestHash(), visited) * sum < weight) {
                    chosen = index;
                }
            }
            index = (index + step) % size;
        }
        return chosen == Candidates.NONE ? candidates.leastLoaded() : chosen;
    }

    /** Returns the estimate of a request without shared parts of a prompt at a candidate. */
    PlacementEstimate estimate(Candidates candidates, int index, int tokensToRead, long nowMillis) {
        return new PlacementEstimate(
                tokensToRead,
                millis(candidates, index, tokensToRead, nowMillis),
                performance.speed(candidates.endpoint(index), nowMillis));
    }

    /** Returns the estimate of a request with shared parts of a prompt at a candidate. */
    PlacementEstimate estimateForPrompt(Candidates candidates, int index, int tokensToRead, long nowMillis) {
        return new PlacementEstimate(
                tokensToRead,
                promptMillis(candidates, index, tokensToRead, nowMillis),
                performance.speed(candidates.endpoint(index), nowMillis));
    }

    private double millis(Candidates candidates, int index, int tokensToRead, long nowMillis) {
        return millis(performance.method(), candidates, index, tokensToRead, nowMillis);
    }

    /** Returns the time at an engine, which runs requests together whichever the method: each slows down the others. */
    private double promptMillis(Candidates candidates, int index, int tokensToRead, long nowMillis) {
        return millis(PlacementMethod.EXPECTED_TIME, candidates, index, tokensToRead, nowMillis);
    }

    private double millis(PlacementMethod method, Candidates candidates, int index, int tokensToRead, long nowMillis) {
        ServiceEndpoint endpoint = candidates.endpoint(index);
        EndpointSpeed speed = performance.speed(endpoint, nowMillis);
        double loadFactor =
                method.loadFactor(candidates.work(index), candidates.meanWork(), Math.max(1, endpoint.slots()));
        return speed.slowdown() * loadFactor * performance.expectedMillis(endpoint.service(), tokensToRead);
    }

    /** Returns a step that visits each candidate once in as many steps as there are candidates. */
    private static int stride(long requestHash, int size) {
        int step = size <= 1 ? 1 : 1 + Math.floorMod(Rendezvous.mix(requestHash, size), size - 1);
        while (greatestCommonDivisor(step, size) != 1) {
            step++;
        }
        return step;
    }

    private static int greatestCommonDivisor(int one, int other) {
        int larger = one;
        int smaller = other;
        while (smaller != 0) {
            int remainder = larger % smaller;
            larger = smaller;
            smaller = remainder;
        }
        return larger;
    }

    private static double uniform(long requestHash, int number) {
        return (Rendezvous.mix(requestHash, ~number) >>> UNUSED_BITS) * UNIT_INTERVAL_SCALE;
    }
}
