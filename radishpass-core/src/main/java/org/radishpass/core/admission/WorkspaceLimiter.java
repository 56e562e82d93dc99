package org.radishpass.core.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the number of requests that each workspace has in progress at this router.
 *
 * <p>The limit in a workspace's record applies to the whole fleet. Each router enforces an equal share of it, enlarged
 * by a headroom factor because the platform's load balancer does not spread a workspace's requests evenly over the
 * routers.
 *
 * <p>Thread-safe.
 *
 * @since 0.1.0
 */
public final class WorkspaceLimiter {
    private static final double HEADROOM_FACTOR = 1.5;

    private final ConcurrentHashMap<String, AtomicInteger> inProgress = new ConcurrentHashMap<>();

    /**
     * Admits a request if its workspace has fewer requests in progress than this router allows.
     *
     * @param workspace the workspace that sent the request
     * @param fleetLimit the maximum number of requests that the workspace may have in progress in the whole fleet
     * @param routers the number of routers
     * @return whether the request was admitted; if so, {@link #release} must be called exactly once when the request ends
     */
    public boolean tryAcquire(String workspace, int fleetLimit, int routers) {
        int limit = routerLimit(fleetLimit, routers);
        AtomicInteger count = inProgress.computeIfAbsent(workspace, name -> new AtomicInteger());
        int before = count.getAndUpdate(value -> value < limit ? value + 1 : value);
        return before < limit;
    }

    /**
     * Records that an admitted request has ended.
     *
     * @param workspace the workspace that sent the request
     */
    public void release(String workspace) {
        AtomicInteger count = inProgress.get(workspace);
        if (count != null) {
            count.decrementAndGet();
        }
    }

    /**
     * Returns the number of requests that a workspace has in progress at this router.
     *
     * @param workspace the workspace
     */
    public int inProgress(String workspace) {
        AtomicInteger count = inProgress.get(workspace);
        return count == null ? 0 : count.get();
    }

    static int routerLimit(int fleetLimit, int routers) {
        return Math.max(1, (int) Math.ceil(fleetLimit * HEADROOM_FACTOR / Math.max(1, routers)));
    }
}
