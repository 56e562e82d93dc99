package org.radishpass.core.load;

/**
 * The bound on the load of an endpoint, as a multiple of the mean load of its pool.
 *
 * @param multiple the multiple of the mean load that no endpoint may exceed, above 1
 * @since 0.1.0
 */
public record LoadBound(double multiple) {
    /** The bound that applies if no configuration record sets one. */
    public static final LoadBound DEFAULT = new LoadBound(1.25);

    /** Checks that the multiple is above 1. */
    public LoadBound {
        if (!(multiple > 1)) {
            throw new IllegalArgumentException("the load bound must be above 1, not " + multiple);
        }
    }

    /**
     * Returns the maximum number of requests that an endpoint may run after one more request is placed in its pool.
     *
     * <p>The limit is the multiple of the mean, rounded down, but at least the mean rounded up. So the limits of a
     * pool's endpoints always add up to at least the load of the pool including the new request, and some endpoint can
     * take it. With a multiple of 1.25, the limit exceeds the exact bound only while the mean is below 4, where the
     * mean rounded up can be larger than the bound.
     *
     * @param pool the load of the pool, without the new request
     * @param weight the weight of the endpoint
     */
    public int limit(PoolLoad pool, double weight) {
        double share = weight / Math.max(pool.weight(), weight);
        double mean = (pool.running() + 1) * share;
        return (int) Math.max(Math.floor(multiple * mean), Math.ceil(mean));
    }
}
