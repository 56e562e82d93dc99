package org.radishpass.core.load;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Aggregates the load of pools from the parts that the owners of endpoints report.
 *
 * <p>Each part counts until its deadline, so that the part of an owner that has stopped drops out.
 *
 * <p>Not thread-safe: all calls must come from one thread.
 *
 * @since 0.1.0
 */
public final class PoolLoadAggregator {
    private final Map<String, Map<String, Part>> partsByPool = new HashMap<>();

    /**
     * Records an owner's part of the load of a pool, in place of its earlier one.
     *
     * @param pool the name of the pool
     * @param owner the id of the router that owns the counted endpoints
     * @param load the load of these endpoints
     * @param deadline the time until which the part counts, by this process's clock
     */
    public void report(String pool, String owner, PoolLoad load, Instant deadline) {
        partsByPool.computeIfAbsent(pool, name -> new HashMap<>()).put(owner, new Part(load, deadline));
    }

    /**
     * Returns the load of a pool: the sum of its parts whose deadline has not passed.
     *
     * @param pool the name of the pool
     * @param now the current time by this process's clock
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
