package org.radishpass.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointList;

/**
 * Orders endpoints for a request, the best first, as many as may be tried.
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
     * @param most the most endpoints to return
     */
    public static List<Endpoint> of(List<Endpoint> endpoints, String workspace, String chat, int spread, int most) {
        EndpointList list = EndpointList.of(endpoints);
        long chatHash = Rendezvous.hash(workspace + '\n' + chat);
        if (spread <= 0 || spread >= list.size()) {
            return highestScored(list, chatHash, most);
        }
        List<Endpoint> byWorkspace = highestScored(list, Rendezvous.hash(workspace), Math.max(spread, most));
        List<Endpoint> ranked = new ArrayList<>(byWorkspace.size());
        ranked.addAll(highestScored(EndpointList.of(byWorkspace.subList(0, spread)), chatHash, spread));
        ranked.addAll(byWorkspace.subList(spread, byWorkspace.size()));
        return ranked.size() <= most ? ranked : new ArrayList<>(ranked.subList(0, most));
    }

    /** Keeps the best in order while it looks at each endpoint once. */
    private static List<Endpoint> highestScored(EndpointList list, long keyHash, int most) {
        int kept = 0;
        int wanted = Math.min(most, list.size());
        double[] scores = new double[wanted];
        int[] places = new int[wanted];
        for (int i = 0; i < list.size(); i++) {
            double score = score(list, i, keyHash);
            if (kept == wanted && score <= scores[kept - 1]) {
                continue;
            }
            int at = kept < wanted ? kept++ : kept - 1;
            while (at > 0 && scores[at - 1] < score) {
                scores[at] = scores[at - 1];
                places[at] = places[at - 1];
                at--;
            }
            scores[at] = score;
            places[at] = i;
        }
        List<Endpoint> ranked = new ArrayList<>(kept);
        for (int i = 0; i < kept; i++) {
            ranked.add(list.get(places[i]));
        }
        return ranked;
    }

    /** Among endpoints of equal weight the logarithm changes no order, and is left out. */
    private static double score(EndpointList list, int index, long keyHash) {
        if (list.uniformWeight()) {
            return Rendezvous.mix(keyHash, list.identityHash(index)) >>> 11;
        }
        return Rendezvous.score(
                keyHash, list.identityHash(index), list.get(index).weight());
    }
}
