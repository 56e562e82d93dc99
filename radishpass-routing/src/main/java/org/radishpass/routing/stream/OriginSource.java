package org.radishpass.routing.stream;

import java.util.Locale;

/**
 * From where a router knows the origin of a stream.
 *
 * @since 0.10.0
 */
public enum OriginSource {
    /** This router began the stream, or keeps its origin for another one. */
    KEPT,
    /** Streams of the service that can still be taken up have begun at one software version only, as recorded. */
    SOLE_VERSION,
    /** Another router has answered. */
    PEER,
    /** Nobody knows it. */
    UNKNOWN;

    /** Returns the source as written to logs and metrics. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
