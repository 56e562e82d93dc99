package org.radishpass.routing.control;

/** What a router reads from the store, for itself and for other routers. */
enum StoreReadScope {
    /** Reads nothing. Other routers read and report. */
    NONE,
    /** Waits at the store for newer configurations, so that the loss of one reader does not delay a configuration. */
    CONFIGURATION,
    /** Reads the endpoint list, and waits for newer configurations. */
    ALL;

    /** Routers that wait at the store for newer configurations: two of them may be lost at the same moment. */
    static final int CONFIGURATION_READERS = 3;

    /**
     * Returns the read scope of a router that gathers work in flight.
     *
     * @param precedingReads whether a preceding router has recently read the store
     * @param preceding the number of preceding routers that gather
     */
    static StoreReadScope of(boolean precedingReads, int preceding) {
        if (!precedingReads) {
            return ALL;
        }
        return preceding < CONFIGURATION_READERS ? CONFIGURATION : NONE;
    }

    boolean readsConfiguration() {
        return this != NONE;
    }

    boolean readsDirectory() {
        return this == ALL;
    }
}
