package org.radishpass.routing.quarantine;

/**
 * Hears of what a router finds out itself of requests that may end their endpoints; called on the traffic thread.
 *
 * @since 0.5.0
 */
public interface SuspectListener {
    /** Hears nothing. */
    SuspectListener NONE = new SuspectListener() {
        @Override
        public void found(SuspectReport news) {
            // nobody to tell
        }

        @Override
        public void quarantined(Suspect suspect) {
            // nowhere to keep it
        }

        @Override
        public void released(RequestFingerprint request) {
            // it was not kept
        }
    };

    /**
     * Endpoints have ended, or a request was answered, at this router.
     *
     * @param news what others do not know yet
     */
    void found(SuspectReport news);

    /**
     * A request is held to be the cause, or has met one more end; this router has seen one of its ends itself.
     *
     * @param suspect the request, with all its ends
     */
    void quarantined(Suspect suspect);

    /**
     * A request that was held to be the cause was answered at this router.
     *
     * @param request the request
     */
    void released(RequestFingerprint request);
}
