package org.radishpass.core.converge;

/**
 * An order to an endpoint.
 *
 * @param type the action that the endpoint is to take
 * @param pool the pool to load or unload; empty for an order that concerns no pool
 * @since 0.1.0
 */
public record Order(OrderType type, String pool) {
    /**
     * Returns an order that concerns no pool.
     *
     * @param type the action that the endpoint is to take
     */
    static Order of(OrderType type) {
        return new Order(type, "");
    }
}
