package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;

/**
 * What came of asking the store for the configuration.
 *
 * @since 0.2.0
 */
public sealed interface ConfigurationReading {
    /**
     * The configuration as the store holds it.
     *
     * @param position the place in the store's history at which it was read
     * @param content the document, see {@link ConfigurationDecoder}
     * @param drains what the same answer says of data centres
     * @since 0.2.0
     */
    record Published(StorePosition position, byte[] content, DrainReading drains) implements ConfigurationReading {
        /** Creates a reading that says nothing of data centres. */
        public Published(StorePosition position, byte[] content) {
            this(position, content, DrainReading.NONE);
        }
    }

    /**
     * It has not changed, or there is none yet.
     *
     * @param position the place in the store's history up to which this holds
     * @param drains what the same answer says of data centres
     * @since 0.2.0
     */
    record Unchanged(StorePosition position, DrainReading drains) implements ConfigurationReading {
        /** Creates a reading that says nothing of data centres. */
        public Unchanged(StorePosition position) {
            this(position, DrainReading.NONE);
        }
    }

    /**
     * The store no longer knows what has changed since; all must be read anew.
     *
     * @since 0.2.0
     */
    record HistoryLost() implements ConfigurationReading {}

    /**
     * The store did not answer, or refused.
     *
     * @param reason why
     * @since 0.2.0
     */
    record Unavailable(String reason) implements ConfigurationReading {}
}
