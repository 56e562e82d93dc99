package org.radishpass.core.load;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the requests that this router sends to each endpoint, by a load bound that counts only the requests of this
 * router. The limit applies while the owner of the endpoint cannot be reached.
 *
 * <p>If each router keeps its requests at an endpoint within the multiple of its own mean, rounded up, then the
 * requests of all routers at that endpoint stay within the multiple of the overall mean, plus one request for each
 * router.
 *
 * <p>Thread-safe.
 *
 * @since 0.1.0
 */
public final class LocalLoadLimiter {
    private final ConcurrentHashMap<String, AtomicInteger> running = new ConcurrentHashMap<>();

    /**
     * Returns the number of requests that this router has in progress at an endpoint.
     *
     * @param endpointId the id of the endpoint
     */
    public int running(String endpointId) {
        AtomicInteger count = running.get(endpointId);
        return count == null ? 0 : count.get();
    }

    /**
     * Records that this router sends a request to an endpoint.
     *
     * @param endpointId the id of the endpoint
     */
    public void started(String endpointId) {
        running.computeIfAbsent(endpointId, id -> new AtomicInteger()).incrementAndGet();
    }

    /**
     * Records that a request of this router at an endpoint has ended.
     *
     * @param endpointId the id of the endpoint
     */
    public void ended(String endpointId) {
        AtomicInteger count = running.get(endpointId);
        if (count != null) {
            count.decrementAndGet();
        }
    }

    /**
     * Returns whether one more request at an endpoint stays within the bound.
     *
     * @param endpointId the id of the endpoint
     * @param weight the weight of the endpoint
     * @param pool the load of the pool, counting only requests of this router
     * @param bound the load bound to apply
     */
    public boolean allows(String endpointId, double weight, PoolLoad pool, LoadBound bound) {
        return running(endpointId) + 1 <= bound.limit(pool, weight);
    }
}
