package org.radishpass.core.load;

/**
 * The set multiple of the mean load that no endpoint may exceed.
 *
 * @param multiple the multiple, above 1
 * @since 0.1.0
 */
public record LoadBound(double multiple) {
    /** The bound where no record sets one. */
    public static final LoadBound DEFAULT = new LoadBound(1.25);

    /** Checks the multiple. */
    public LoadBound {
        if (!(multiple > 1)) {
            throw new IllegalArgumentException("the load bound must be above 1, not " + multiple);
        }
    }

    /**
     * Returns the most requests that an endpoint may run once one more is placed in its pool.
     *
     * <p>That is the multiple of the mean, rounded down, but never less than the mean rounded up. So the limits of a
     * pool's endpoints always add up to at least its load, the new request included: it finds room somewhere. From a
     * mean of 4 on, a multiple of 1.25 is kept to the letter; below, whole requests allow no better.
     *
     * @param pool the load of the pool without the new request
     * @param weight the endpoint's own weight
     */
    public int limit(PoolLoad pool, double weight) {
        double share = weight / Math.max(pool.weight(), weight);
        double mean = (pool.running() + 1) * share;
        return (int) Math.max(Math.floor(multiple * mean), Math.ceil(mean));
    }
}
