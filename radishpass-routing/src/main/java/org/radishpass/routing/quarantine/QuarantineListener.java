package org.radishpass.routing.quarantine;

/**
 * Receives changes in the status of features of requests. Called on the traffic thread.
 *
 * @since 0.11.0
 */
public interface QuarantineListener {
    /**
     * Called when this router refuses a request for the first time because of a feature that crashes endpoints.
     *
     * @param cause the feature
     * @param crashes the number of consecutive crashes
     * @param origin the origin of the last crash: this router, the name of another one or the store
     */
    void quarantined(CrashCause cause, int crashes, String origin);

    /** Called when one request with a quarantined feature is let through as a trial. */
    void tried(CrashCause cause, int crashes);

    /** Called when a feature that this router had quarantined proved harmless, at this router or another. */
    void cleared(CrashCause cause, int crashes);
}
