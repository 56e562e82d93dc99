package org.radishpass.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.fleet.Endpoint;

/**
 * Orders endpoints for a request, the best first.
 *
 * <p>A workspace is first given a subset of the endpoints, so that chats with the same prefix meet and a surge stays
 * contained; within the subset the chat decides. The endpoints outside the subset follow, in the workspace's order.
 *
 * @since 0.1.0
 */
public final class Ranking {
    private Ranking() {
        // static methods only
    }

    /**
     * Returns the endpoints in the order in which they are to be tried.
     *
     * @param endpoints the endpoints open to the request
     * @param workspace the workspace that asks
     * @param chat the chat, or whatever else the request should stay close to
     * @param spread how many endpoints the workspace's chats are spread over; 0 for all
     */
    public static List<Endpoint> of(List<Endpoint> endpoints, String workspace, String chat, int spread) {
        long chatHash = Rendezvous.hash(workspace + '\n' + chat);
        if (spread <= 0 || spread >= endpoints.size()) {
            return ordered(endpoints, chatHash);
        }
        List<Endpoint> byWorkspace = ordered(endpoints, Rendezvous.hash(workspace));
        List<Endpoint> ranked = new ArrayList<>(endpoints.size());
        ranked.addAll(ordered(byWorkspace.subList(0, spread), chatHash));
        ranked.addAll(byWorkspace.subList(spread, byWorkspace.size()));
        return ranked;
    }

    private static List<Endpoint> ordered(List<Endpoint> endpoints, long keyHash) {
        int count = endpoints.size();
        Scored[] scored = new Scored[count];
        for (int i = 0; i < count; i++) {
            Endpoint endpoint = endpoints.get(i);
            double score = Rendezvous.score(keyHash, Rendezvous.hash(endpoint.id()), endpoint.weight());
            scored[i] = new Scored(score, endpoint);
        }
        java.util.Arrays.sort(scored);
        List<Endpoint> ranked = new ArrayList<>(count);
        for (Scored entry : scored) {
            ranked.add(entry.endpoint());
        }
        return ranked;
    }

    private record Scored(double score, Endpoint endpoint) implements Comparable<Scored> {
        @Override
        public int compareTo(Scored other) {
            return Double.compare(other.score, score);
        }
    }
}
