package org.radishpass.core.converge;

import java.util.Locale;

/**
 * The types of orders to an endpoint.
 *
 * @since 0.1.0
 */
public enum OrderType {
    /** Load a pool: a version of a model, with its adapter if it has one. */
    LOAD,
    /** Unload a pool. */
    UNLOAD,
    /** Wake up from sleep. */
    WAKE,
    /** Go to sleep. */
    SLEEP,
    /** Accept no new requests and finish those in progress. */
    DRAIN;

    /** Returns the name of this type on the wire. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
