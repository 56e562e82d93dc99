package org.radishpass.core.converge;

import java.util.Locale;

/**
 * The orders that an endpoint can be given.
 *
 * @since 0.1.0
 */
public enum OrderType {
    /** Load a model, adapter and version. */
    LOAD,
    /** Give one up. */
    UNLOAD,
    /** Switch on. */
    WAKE,
    /** Switch off. */
    SLEEP,
    /** Take nothing new and finish what runs. */
    DRAIN;

    /** Returns the name on the wire. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
