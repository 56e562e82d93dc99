package org.radishpass.core.placement;

import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Endpoint;

/**
 * The input of a placement policy for a request.
 *
 * @param endpoints the endpoints that accept the request, ordered by id
 * @param workspace the workspace that sent the request
 * @param chat the chat to which the request belongs
 * @param spread the number of endpoints over which the workspace's chats are spread; 0 for all
 * @param affinityToken the affinity token from the last turn of the chat, or null if the caller sent none
 * @param maxEndpoints the maximum number of endpoints that may be tried
 * @param loads the estimated load of the endpoints
 * @param sequence a number that increases with each request of this router
 * @param random the source of randomness
 * @since 0.1.0
 */
public record PlacementRequest(
        List<Endpoint> endpoints,
        String workspace,
        String chat,
        int spread,
        @Nullable String affinityToken,
        int maxEndpoints,
        LoadEstimate loads,
        long sequence,
        Random random) {}
