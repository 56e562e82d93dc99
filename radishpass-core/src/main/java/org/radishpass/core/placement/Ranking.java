package org.radishpass.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointList;

/**
 * Orders endpoints for a request by rendezvous hashing, from most to least preferred.
 *
 * <p>Each workspace has a preferred subset of the endpoints. So chats with the same prefix reach the same endpoints,
 * whose caches hold that prefix, and a surge of one workspace affects few endpoints. Within the subset the hash of the
 * chat determines the order. The endpoints outside the subset follow, ordered by the hash of the workspace.
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
     * @param endpoints the endpoints that accept the request
     * @param workspace the workspace that sent the request
     * @param chat the chat, or another key whose requests should reach the same endpoint
     * @param spread the number of endpoints over which the workspace's chats are spread; 0 for all
     * @param maxEndpoints the maximum number of endpoints to return
     */
    public static List<Endpoint> of(
            List<Endpoint> endpoints, String workspace, String chat, int spread, int maxEndpoints) {
        EndpointList list = EndpointList.of(endpoints);
        long chatHash = Rendezvous.hash(workspace + '\n' + chat);
        if (spread <= 0 || spread >= list.size()) {
            return highestScored(list, chatHash, maxEndpoints);
        }
        List<Endpoint> byWorkspace = highestScored(list, Rendezvous.hash(workspace), Math.max(spread, maxEndpoints));
        List<Endpoint> ranked = new ArrayList<>(byWorkspace.size());
        ranked.addAll(highestScored(EndpointList.of(byWorkspace.subList(0, spread)), chatHash, spread));
        ranked.addAll(byWorkspace.subList(spread, byWorkspace.size()));
        return ranked.size() <= maxEndpoints ? ranked : new ArrayList<>(ranked.subList(0, maxEndpoints));
    }

    /**
     * Returns the endpoints with the highest scores in descending order, found by an insertion sort in one pass.
     */
    private static List<Endpoint> highestScored(EndpointList list, long keyHash, int maxEndpoints) {
        int kept = 0;
        int limit = Math.min(maxEndpoints, list.size());
        double[] scores = new double[limit];
        int[] indexes = new int[limit];
        for (int i = 0; i < list.size(); i++) {
            double score = score(list, i, keyHash);
            if (kept == limit && score <= scores[kept - 1]) {
                continue;
            }
            int position = kept < limit ? kept++ : kept - 1;
            while (position > 0 && scores[position - 1] < score) {
                scores[position] = scores[position - 1];
                indexes[position] = indexes[position - 1];
                position--;
            }
            scores[position] = score;
            indexes[position] = i;
        }
        List<Endpoint> ranked = new ArrayList<>(kept);
        for (int i = 0; i < kept; i++) {
            ranked.add(list.get(indexes[i]));
        }
        return ranked;
    }

    /**
     * Returns the score of an endpoint. The logarithm is skipped for equal weights, as it would not change the order.
     */
    private static double score(EndpointList list, int index, long keyHash) {
        if (list.uniformWeight()) {
            return Rendezvous.mix(keyHash, list.identityHash(index)) >>> 11;
        }
        return Rendezvous.score(
                keyHash, list.identityHash(index), list.get(index).weight());
    }
}
