package org.radishpass.routing.control;

/**
 * What came of asking the store for the configuration.
 *
 * @since 0.2.0
 */
public sealed interface ConfigurationReading {
    /**
     * The configuration as the store holds it.
     *
     * @param revision the store's revision at which it was read
     * @param content the document, see {@link ConfigurationDecoder}
     * @param drains what the same answer says of data centres
     * @since 0.2.0
     */
    record Published(long revision, byte[] content, DrainReading drains) implements ConfigurationReading {
        /** Creates a reading that says nothing of data centres. */
        public Published(long revision, byte[] content) {
            this(revision, content, DrainReading.NONE);
        }
    }

    /**
     * It has not changed, or there is none yet.
     *
     * @param revision the store's revision up to which this holds
     * @param drains what the same answer says of data centres
     * @since 0.2.0
     */
    record Unchanged(long revision, DrainReading drains) implements ConfigurationReading {
        /** Creates a reading that says nothing of data centres. */
        public Unchanged(long revision) {
            this(revision, DrainReading.NONE);
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
