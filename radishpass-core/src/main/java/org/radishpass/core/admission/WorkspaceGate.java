package org.radishpass.core.admission;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Holds each workspace to its share of requests in progress at this router.
 *
 * <p>A record's limit is for the fleet. Each router allows its share with some headroom, since the platform's balancer
 * does not spread a workspace evenly. Safe for threads.
 *
 * @since 0.1.0
 */
public final class WorkspaceGate {
    private static final double HEADROOM = 1.5;

    private final ConcurrentHashMap<String, AtomicInteger> inProgress = new ConcurrentHashMap<>();

    /**
     * Lets a request in, or not.
     *
     * @param workspace the workspace that asks
     * @param fleetLimit the workspace's limit for the fleet
     * @param routers the number of routers
     * @return whether it was let in; if so, {@link #leave} must follow once
     */
    public boolean tryEnter(String workspace, int fleetLimit, int routers) {
        int share = share(fleetLimit, routers);
        AtomicInteger count = inProgress.computeIfAbsent(workspace, name -> new AtomicInteger());
        int before = count.getAndUpdate(value -> value < share ? value + 1 : value);
        return before < share;
    }

    /**
     * Counts a request as finished.
     *
     * @param workspace the workspace that asked
     */
    public void leave(String workspace) {
        AtomicInteger count = inProgress.get(workspace);
        if (count != null) {
            count.decrementAndGet();
        }
    }

    /**
     * Returns the requests in progress.
     *
     * @param workspace the workspace
     */
    public int inProgress(String workspace) {
        AtomicInteger count = inProgress.get(workspace);
        return count == null ? 0 : count.get();
    }

    static int share(int fleetLimit, int routers) {
        return Math.max(1, (int) Math.ceil(fleetLimit * HEADROOM / Math.max(1, routers)));
    }
}
