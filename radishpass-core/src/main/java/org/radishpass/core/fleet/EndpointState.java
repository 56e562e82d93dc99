package org.radishpass.core.fleet;

/**
 * The lifecycle states of an endpoint.
 *
 * @since 0.1.0
 */
public enum EndpointState {
    /** Listed by the platform but not yet answering. */
    JOINING(false),
    /** Answering and accepting new requests. */
    READY(true),
    /**
     * Suspected of having failed, since it does not answer. It gets no new requests unless one of its pools
     * has more suspected than ready endpoints.
     */
    SUSPECT(false),
    /** Finishing the requests in progress and getting no new ones. */
    LEAVING(false),
    /** Sleeping as a spare. */
    ASLEEP(false);

    private final boolean acceptsNewRequests;

    EndpointState(boolean acceptsNewRequests) {
        this.acceptsNewRequests = acceptsNewRequests;
    }

    /** Returns whether an endpoint in this state accepts new requests. */
    public boolean acceptsNewRequests() {
        return acceptsNewRequests;
    }
}
