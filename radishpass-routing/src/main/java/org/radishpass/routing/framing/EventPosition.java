package org.radishpass.routing.framing;

/**
 * Where in a stream of events the bytes received so far end.
 *
 * @since 0.10.0
 */
public enum EventPosition {
    /** The body is not a stream of events. */
    NO_STREAM,
    /** No event has begun. */
    BEFORE_FIRST_EVENT,
    /** The last event that has begun is complete. */
    BETWEEN_EVENTS,
    /** An event has begun and is not complete. */
    INSIDE_EVENT
}
