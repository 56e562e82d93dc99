package org.radishpass.routing.framing;

import java.util.Locale;

/**
 * Why bytes are no legal response: what a {@link StrictResponseDecoder} has found in a head, in the lines between chunks
 * or in trailers.
 *
 * @since 0.16.0
 */
public enum HeadDefect {
    /** The first line does not begin with {@code HTTP/1.0} or {@code HTTP/1.1} and a space. */
    INVALID_VERSION,
    /** The status is not a number from 100 to 599 that a space or the line's end follows. */
    INVALID_STATUS,
    /** A status line begins inside the reason, a name or a value: another response has begun there. */
    STATUS_LINE_INSIDE,
    /** A header line has no colon. */
    LINE_WITHOUT_COLON,
    /** A header line begins with white space. */
    FOLDED_LINE,
    /** White space stands before the colon of a header line. */
    SPACE_BEFORE_COLON,
    /** The name of a header is empty or no token. */
    INVALID_NAME,
    /** A control character, or a carriage return that no line feed follows, stands in the reason or in a value. */
    INVALID_VALUE,
    /** The length is no number, stated more than once, or stated beside a transfer encoding. */
    CONFLICTING_LENGTH,
    /** The transfer encoding is not chunked alone, is stated more than once or under HTTP/1.0. */
    INVALID_TRANSFER_ENCODING,
    /** The line with the size of a chunk, or the line end behind a chunk, is malformed. */
    INVALID_CHUNK,
    /** The two readings of the message, the check's and the decoder's, end at different bytes. */
    AMBIGUOUS_END;

    /** Returns the defect as written to logs and metrics. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
