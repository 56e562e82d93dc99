package org.radishpass.router.internal.traffic;

import java.time.Instant;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.load.LoadBound;

/**
 * What is to be placed.
 *
 * @param workspace the workspace that asks
 * @param chat what the request should stay close to
 * @param affinity the token of the chat's last turn, if the caller brought one
 * @param pool the pool that serves it
 * @param priority its class
 * @param bound the bound on load
 * @param spread over how many endpoints the workspace's chats are spread; 0 for all
 * @param queued the most requests of the workspace that may wait here
 * @param deadline its deadline
 * @param excluded endpoints that have failed it
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
        int queued,
        Instant deadline,
        Set<String> excluded) {
    /** Copies the exclusions. */
    public PlaceRequest {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns this request with other exclusions.
     *
     * @param newExcluded endpoints that have failed it
     */
    public PlaceRequest without(Set<String> newExcluded) {
        return new PlaceRequest(
                workspace, chat, affinity, pool, priority, bound, spread, queued, deadline, newExcluded);
    }
}
