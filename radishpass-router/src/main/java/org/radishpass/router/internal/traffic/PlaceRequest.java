package org.radishpass.router.internal.traffic;

import java.time.Instant;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.load.LoadBound;

/**
 * The properties of a request that determine its placement on an endpoint.
 *
 * @param workspace the name of the workspace that sent the request
 * @param chat the affinity key, which prefers the same endpoints for requests with the same key
 * @param affinity the affinity token that the caller received with the chat's last turn, or null
 * @param pool the pool that serves the request
 * @param priority the request's priority class
 * @param bound the bound on an endpoint's load relative to its pool
 * @param spread the number of endpoints over which the workspace's chats are spread, or 0 for all endpoints
 * @param maxQueued the maximum number of the workspace's requests that may wait at this router
 * @param deadline the time when the caller stops waiting
 * @param excluded the ids of endpoints at which an attempt of this request has failed
 * @since 0.1.0
 */
public record PlaceRequest(
        String workspace,
        String chat,
        @Nullable String affinity,
        String pool,
        PriorityClass priority,
        LoadBound bound,
        int spread,
        int maxQueued,
        Instant deadline,
        Set<String> excluded) {
    /** Makes an unmodifiable copy of the excluded ids. */
    public PlaceRequest {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns a copy of this request with other excluded endpoints.
     *
     * @param newExcluded the ids of endpoints at which an attempt of this request has failed
     */
    public PlaceRequest withExcluded(Set<String> newExcluded) {
        return new PlaceRequest(
                workspace, chat, affinity, pool, priority, bound, spread, maxQueued, deadline, newExcluded);
    }
}
