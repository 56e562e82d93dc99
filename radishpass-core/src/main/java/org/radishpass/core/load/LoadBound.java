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
     * <p>Rounded up, so that the bounds of a pool's endpoints always add up to more than its load: a request finds room
     * somewhere.
     *
     * @param pool the load of the pool without the new request
     * @param weight the endpoint's own weight
     */
    public int limit(PoolLoad pool, double weight) {
        double share = weight / Math.max(pool.weight(), weight);
        return Math.max(1, (int) Math.ceil(multiple * (pool.running() + 1) * share));
    }
}
