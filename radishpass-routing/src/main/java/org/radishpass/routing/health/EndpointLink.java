package org.radishpass.routing.health;

/**
 * Records whether this router reaches one endpoint, by which evidence and since when. Confined to the traffic thread.
 *
 * @since 0.9.0
 */
public final class EndpointLink {
    private LinkEvidence evidence = LinkEvidence.NONE;
    private long stateSinceMillis;
    private long observedAtMillis;

    EndpointLink(long nowMillis) {
        this.stateSinceMillis = nowMillis;
        this.observedAtMillis = nowMillis;
    }

    void observe(LinkEvidence observed, long nowMillis) {
        if (observed.state() != evidence.state()) {
            stateSinceMillis = nowMillis;
        }
        evidence = observed;
        observedAtMillis = nowMillis;
    }

    /** Returns whether this router reaches the endpoint. */
    public LinkState state() {
        return evidence.state();
    }

    /** Returns the latest evidence. */
    public LinkEvidence evidence() {
        return evidence;
    }

    /** Returns since when the state has been the same, on the monotonic clock in milliseconds. */
    public long stateSinceMillis() {
        return stateSinceMillis;
    }

    /** Returns when the latest evidence was observed, on the monotonic clock in milliseconds. */
    public long observedAtMillis() {
        return observedAtMillis;
    }
}
