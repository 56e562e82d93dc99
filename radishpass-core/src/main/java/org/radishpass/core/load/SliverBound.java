package org.radishpass.core.load;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The bound that a router keeps on its own part of the traffic, for when an endpoint's owner cannot be asked.
 *
 * <p>If each router keeps its own part within the multiple of its own mean, rounded up, then the sum of all is within
 * the multiple of the common mean plus one request for each router. Safe for threads.
 *
 * @since 0.1.0
 */
public final class SliverBound {
    private final ConcurrentHashMap<String, AtomicInteger> running = new ConcurrentHashMap<>();

    /**
     * Returns this router's own requests at an endpoint.
     *
     * @param endpointId the endpoint
     */
    public int running(String endpointId) {
        AtomicInteger count = running.get(endpointId);
        return count == null ? 0 : count.get();
    }

    /**
     * Counts a request that goes out.
     *
     * @param endpointId the endpoint
     */
    public void started(String endpointId) {
        running.computeIfAbsent(endpointId, id -> new AtomicInteger()).incrementAndGet();
    }

    /**
     * Counts a request that has ended.
     *
     * @param endpointId the endpoint
     */
    public void ended(String endpointId) {
        AtomicInteger count = running.get(endpointId);
        if (count != null) {
            count.decrementAndGet();
        }
    }

    /**
     * Tells whether one more request keeps to the bound.
     *
     * @param endpointId the endpoint
     * @param weight its weight
     * @param pool this router's own part of the pool's load
     * @param bound the bound
     */
    public boolean allows(String endpointId, double weight, PoolLoad pool, LoadBound bound) {
        return running(endpointId) + 1 <= bound.limit(pool, weight);
    }
}
