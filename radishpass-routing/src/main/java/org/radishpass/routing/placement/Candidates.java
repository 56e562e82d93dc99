package org.radishpass.routing.placement;

import java.util.List;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.InFlightTracker;

/**
 * The work in flight and the rendezvous ranks of the candidates of one request. Each is looked up once per choice, and
 * the arrays are reused, because placement takes a large part of the processor time of a request.
 */
final class Candidates {
    /** The result of a search without a match. */
    static final int NONE = -1;

    private static final int INITIAL_CAPACITY = 16;

    private List<ServiceEndpoint> endpoints = List.of();
    private int[] requests = new int[INITIAL_CAPACITY];
    private long[] tokens = new long[INITIAL_CAPACITY];
    private long[] ranks = new long[INITIAL_CAPACITY];
    private int requestSum;
    private long tokenSum;

    /** Looks up the work in flight at the candidates. */
    void load(List<ServiceEndpoint> candidates, InFlightTracker inFlight) {
        int size = candidates.size();
        if (requests.length < size) {
            requests = new int[2 * size];
            tokens = new long[2 * size];
            ranks = new long[2 * size];
        }
        endpoints = candidates;
        requestSum = 0;
        tokenSum = 0;
        for (int index = 0; index < size; index++) {
            InFlight work = inFlight.at(candidates.get(index).id());
            requests[index] = work.requests();
            tokens[index] = work.tokens();
            requestSum += work.requests();
            tokenSum += work.tokens();
        }
    }

    /** Computes the ranks of the candidates for the hash of a prompt. */
    void rank(long key) {
        for (int index = 0; index < endpoints.size(); index++) {
            ranks[index] = Rendezvous.mix(key, endpoints.get(index).hash());
        }
    }

    int size() {
        return endpoints.size();
    }

    ServiceEndpoint endpoint(int index) {
        return endpoints.get(index);
    }

    int requests(int index) {
        return requests[index];
    }

    /** Returns the sum of the requests in flight at the candidates. */
    int requestSum() {
        return requestSum;
    }

    /**
     * Returns the work in flight at a candidate, in mean requests. Half of it is counted by requests and half by tokens,
     * so that long prompts and long outputs count more.
     */
    double work(int index) {
        if (tokenSum <= 0) {
            return Math.max(0, requests[index]);
        }
        return Math.max(0, (requests[index] + tokens[index] * ((double) requestSum / tokenSum)) / 2);
    }

    /** Returns the mean work in flight, in mean requests. */
    double meanWork() {
        return Math.max(0, (double) requestSum / Math.max(1, endpoints.size()));
    }

    /**
     * Returns the highest ranked candidate that accepts one more request within a limit; {@link #NONE} if there is none.
     *
     * @param limit the maximum number of requests in flight
     * @param excluded a candidate that is not considered, or {@link #NONE}
     */
    int firstWithinLimit(double limit, int excluded) {
        int best = NONE;
        for (int index = 0; index < endpoints.size(); index++) {
            if (index != excluded && requests[index] + 1 <= limit && (best == NONE || ranks[index] > ranks[best])) {
                best = index;
            }
        }
        return best;
    }

    /** Returns the candidate with the fewest requests in flight. */
    int leastLoaded() {
        int least = 0;
        for (int index = 1; index < endpoints.size(); index++) {
            if (requests[index] < requests[least]) {
                least = index;
            }
        }
        return least;
    }

    /** Returns the number of candidates that rank before an endpoint for the hash of a prompt. */
    int rankOf(long key, ServiceEndpoint endpoint) {
        long rank = Rendezvous.mix(key, endpoint.hash());
        int higher = 0;
        for (int index = 0; index < endpoints.size(); index++) {
            if (ranks[index] > rank) {
                higher++;
            }
        }
        return higher;
    }
}
