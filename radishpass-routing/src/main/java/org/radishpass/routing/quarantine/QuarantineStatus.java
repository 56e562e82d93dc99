package org.radishpass.routing.quarantine;

/**
 * The status of a request with regard to endpoint crashes, which decides whether and how the request may be sent. Later
 * constants restrict the request more.
 *
 * @since 0.5.0
 */
public enum QuarantineStatus {
    /** No endpoint is known to have crashed while the request was in progress there. */
    CLEAR(true, true),
    /**
     * Endpoints crashed while the request, or one that shares a part of its prompt, was in progress, which is no proof. Each
     * arrival of the request is sent to at most one endpoint.
     */
    SUSPECTED(true, false),
    /** The quarantine is over. One request is sent, to find out whether it still crashes its endpoint. */
    ON_TRIAL(true, false),
    /** The request, or a part of its prompt, counts as the cause of crashes and is sent to no endpoint. */
    QUARANTINED(false, false);

    private final boolean admitted;
    private final boolean mayBeRetried;

    QuarantineStatus(boolean admitted, boolean mayBeRepeated) {
        this.admitted = admitted;
        this.mayBeRetried = mayBeRepeated;
    }

    /** Tells whether the request may be sent to an endpoint. */
    public boolean admitted() {
        return admitted;
    }

    /** Tells whether one arrival of the request may be sent to another endpoint after its response broke off. */
    public boolean mayBeRetried() {
        return mayBeRetried;
    }
}
