package org.radishpass.routing.quarantine;

/**
 * What may be done with a request.
 *
 * @since 0.5.0
 */
public enum Standing {
    /** No endpoint has ended with it at work. */
    CLEAR(true, true),
    /** Endpoints have ended with it at work, which is no proof: it is sent, but to one endpoint only. */
    SUSPECTED(true, false),
    /** It was held back for long enough that one try may show whether it still ends its endpoint. */
    ON_TRIAL(true, false),
    /** It is held to end its endpoints, and goes to none. */
    QUARANTINED(false, false);

    private final boolean admitted;
    private final boolean mayBeRepeated;

    Standing(boolean admitted, boolean mayBeRepeated) {
        this.admitted = admitted;
        this.mayBeRepeated = mayBeRepeated;
    }

    /** Tells whether it may be sent to an endpoint. */
    public boolean admitted() {
        return admitted;
    }

    /** Tells whether one arrival of it may be sent to another endpoint after its answer has broken off at one. */
    public boolean mayBeRepeated() {
        return mayBeRepeated;
    }
}
