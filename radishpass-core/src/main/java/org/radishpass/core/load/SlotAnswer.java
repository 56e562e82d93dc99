package org.radishpass.core.load;

/**
 * What an endpoint's owner says to a request for a slot.
 *
 * @since 0.1.0
 */
public enum SlotAnswer {
    /** The slot is taken; the request may go out. */
    GRANTED,
    /** One more would put the endpoint over the bound; another has room. */
    OVER_BOUND,
    /** The endpoint runs as many as it can, or as many of this class as it may. */
    FULL,
    /** The endpoint is leaving, asleep or unknown to its owner. */
    CLOSED,
    /** The owner did not answer in time; the router went by its own estimate. */
    UNCONFIRMED
}
