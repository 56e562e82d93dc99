package org.radishpass.routing.framing;

/** What the id of an event tells about it. */
enum EventIdentity {
    /** The event has not been forwarded. */
    NEW,
    /** The event was forwarded before. */
    REPEATED,
    /** The event has no id, so that it is not recognized if it is sent again. */
    UNIDENTIFIED
}
