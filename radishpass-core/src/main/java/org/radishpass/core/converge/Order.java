package org.radishpass.core.converge;

/**
 * One order to an endpoint.
 *
 * @param type what to do
 * @param pool the pool that it is about; empty where it is about none
 * @since 0.1.0
 */
public record Order(OrderType type, String pool) {
    /**
     * Returns an order that is about no pool.
     *
     * @param type what to do
     */
    static Order of(OrderType type) {
        return new Order(type, "");
    }
}
