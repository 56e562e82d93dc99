package org.radishpass.routing.framing;

import java.util.Locale;

/**
 * What shows how a response ended.
 *
 * @since 0.10.0
 */
public enum EndEvidence {
    /** A response of this kind has no body. */
    NO_BODY,
    /** As many bytes as the head states were received. */
    LENGTH_REACHED,
    /** The chunk of length zero was received. */
    CHUNKS_ENDED,
    /** The connection was closed in order at the end of a close-delimited body that is not a stream of events. */
    CONNECTION_ENDED,
    /** The connection was closed in order between two events of a close-delimited stream. */
    CONNECTION_ENDED_BETWEEN_EVENTS,
    /** The connection was closed in order before a close-delimited success had any content. */
    CONNECTION_ENDED_WITHOUT_CONTENT,
    /** The response ended inside an event. */
    ENDED_INSIDE_EVENT,
    /** The connection was closed before the end that the framing states. */
    CONNECTION_ENDED_EARLY,
    /** The connection was reset, or timed out. */
    CONNECTION_LOST,
    /** Bytes were received that are no response to the request. */
    MALFORMED;

    /** Returns the evidence as written to logs and metrics. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
