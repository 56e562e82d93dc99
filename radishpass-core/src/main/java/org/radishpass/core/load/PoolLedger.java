package org.radishpass.core.load;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Adds up the load of pools from the parts that owners of endpoints report.
 *
 * <p>A part counts until its deadline, so that the share of an owner that is gone falls out. Confined to one thread.
 *
 * @since 0.1.0
 */
public final class PoolLedger {
    private final Map<String, Map<String, Part>> partsByPool = new HashMap<>();

    /**
     * Takes an owner's part of a pool.
     *
     * @param pool the pool
     * @param owner the router that owns the endpoints counted
     * @param load their load
     * @param deadline until when it counts
     */
    public void report(String pool, String owner, PoolLoad load, Instant deadline) {
        partsByPool.computeIfAbsent(pool, name -> new HashMap<>()).put(owner, new Part(load, deadline));
    }

    /**
     * Returns the sum of a pool's parts that still count.
     *
     * @param pool the pool
     * @param now the time by this process's clock
     */
    public PoolLoad total(String pool, Instant now) {
        Map<String, Part> parts = partsByPool.get(pool);
        if (parts == null) {
            return PoolLoad.NONE;
        }
        parts.values().removeIf(part -> !part.deadline().isAfter(now));
        return parts.values().stream().map(Part::load).reduce(PoolLoad.NONE, PoolLoad::plus);
    }

    private record Part(PoolLoad load, Instant deadline) {}
}
