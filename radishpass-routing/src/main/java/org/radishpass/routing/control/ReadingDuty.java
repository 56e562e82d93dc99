package org.radishpass.routing.control;

/** What a router reads from the store for itself and others. */
enum ReadingDuty {
    /** Nothing: others read, and tell. */
    NONE,
    /** It waits for newer configurations, so that the loss of one reader delays none. */
    CONFIGURATION,
    /** It also reads the endpoint list. */
    ALL;

    /** Routers that wait for newer configurations: two may be lost at the same moment. */
    static final int CONFIGURATION_READERS = 3;

    /**
     * Returns the duty of a router that gathers.
     *
     * @param readBefore whether one before it in order has read the store lately
     * @param before how many are before it in order
     */
    static ReadingDuty of(boolean readBefore, int before) {
        if (!readBefore) {
            return ALL;
        }
        return before < CONFIGURATION_READERS ? CONFIGURATION : NONE;
    }

    boolean readsConfiguration() {
        return this != NONE;
    }

    boolean readsDirectory() {
        return this == ALL;
    }
}
