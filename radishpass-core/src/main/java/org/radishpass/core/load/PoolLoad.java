package org.radishpass.core.load;

/**
 * The combined load of the endpoints of a pool, or of a part of them.
 *
 * @param running the number of requests in progress at the endpoints
 * @param weight the sum of the endpoints' weights
 * @since 0.1.0
 */
public record PoolLoad(double running, double weight) {
    /** The load of a pool without known endpoints. */
    public static final PoolLoad NONE = new PoolLoad(0, 0);

    /**
     * Returns the sum of the loads of two disjoint parts of a pool.
     *
     * @param other the load of the other part
     */
    public PoolLoad plus(PoolLoad other) {
        return new PoolLoad(running + other.running, weight + other.weight);
    }
}
