package org.radishpass.routing.quarantine;

/**
 * Receives what this router itself finds out about features of requests that may crash endpoints. Called on the traffic
 * thread.
 *
 * @since 0.5.0
 */
public interface SuspectListener {
    /** A listener that ignores all calls. */
    SuspectListener NONE = new SuspectListener() {
        @Override
        public void found(SuspectReport news) {
            // ignored
        }

        @Override
        public void quarantined(Suspect suspect) {
            // ignored
        }

        @Override
        public void released(CrashCause cause) {
            // ignored
        }
    };

    /**
     * Called when endpoints crashed, when a suspect was answered or when a trial begins at this router.
     *
     * @param news the findings to report to other routers
     */
    void found(SuspectReport news);

    /**
     * Called when a feature counts as the cause of crashes, and again after each further crash. This router has seen at
     * least one of the crashes itself, and has to write the feature to the store.
     *
     * @param suspect the feature with all its crashes
     */
    void quarantined(Suspect suspect);

    /**
     * Called when a request with a feature that is in the store was answered, so that the feature has to be removed from the store.
     *
     * @param cause the feature
     */
    void released(CrashCause cause);
}
