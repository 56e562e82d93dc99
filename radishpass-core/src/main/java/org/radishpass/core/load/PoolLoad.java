package org.radishpass.core.load;

/**
 * The load of all endpoints of a pool together.
 *
 * @param running the requests that run there
 * @param weight the sum of the endpoints' weights
 * @since 0.1.0
 */
public record PoolLoad(double running, double weight) {
    /** A pool of which nothing is known. */
    public static final PoolLoad NONE = new PoolLoad(0, 0);

    /**
     * Returns the sum of two parts of a pool.
     *
     * @param other the other part
     */
    public PoolLoad plus(PoolLoad other) {
        return new PoolLoad(running + other.running, weight + other.weight);
    }
}
