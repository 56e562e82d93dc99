package org.radishpass.core.placement;

import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Endpoint;

/**
 * What a placement policy needs to know of a request.
 *
 * @param endpoints the endpoints open to it, ordered by identity
 * @param workspace the workspace that asks
 * @param chat the chat it belongs to
 * @param spread how many endpoints the workspace's chats are spread over; 0 for all
 * @param affinityToken the token of the chat's last turn, if the caller brought one
 * @param maxEndpoints the most endpoints that may be tried
 * @param loads what is believed of the endpoints' load
 * @param sequence a number that grows with each request of this router
 * @param random the source of chance
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
