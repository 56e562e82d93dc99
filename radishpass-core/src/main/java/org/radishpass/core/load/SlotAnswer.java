package org.radishpass.core.load;

/**
 * The answer to a request for a slot at an endpoint.
 *
 * @since 0.1.0
 */
public enum SlotAnswer {
    /** The slot is held for the request, which may be sent. */
    GRANTED,
    /** One more request would exceed the load bound of the endpoint; another endpoint of the pool has room. */
    OVER_BOUND,
    /** The endpoint runs as many requests as it can, or as many of this priority class as it may. */
    FULL,
    /** The endpoint does not accept new requests of the pool, for example because it is leaving or asleep. */
    CLOSED,
    /**
     * No owner decided, because the router that was asked does not own the endpoint or did not answer in time. The
     * router that asked decides by its own estimate.
     */
    UNCONFIRMED
}
