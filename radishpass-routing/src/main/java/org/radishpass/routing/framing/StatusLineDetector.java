package org.radishpass.routing.framing;

import io.netty.buffer.ByteBuf;

/**
 * Finds a status line in bytes that arrive in parts: {@code HTTP/d.d ddd} and a space or a line end. A version alone, as
 * in the value of a Via header, is none.
 *
 * @since 0.16.0
 */
public final class StatusLineDetector {
    /** The pattern; {@code d} stands for a digit. No other character occurs where a match may begin anew. */
    private static final String PATTERN = "HTTP/d.d ddd";

    private int matched;

    /**
     * Tells whether a status line ends in these bytes, which follow those of the last call.
     *
     * @param bytes holds the bytes
     * @param from the index of the first
     * @param to the index behind the last
     */
    public boolean find(ByteBuf bytes, int from, int to) {
        for (int index = from; index < to; index++) {
            if (accept(bytes.getByte(index))) {
                return true;
            }
        }
        return false;
    }

    /** Forgets the bytes seen so far. */
    public void reset() {
        matched = 0;
    }

    /** Takes the next byte and tells whether it completes a status line. */
    boolean accept(int next) {
        if (matched == PATTERN.length()) {
            matched = 0;
            if (next == ' ' || next == '\r' || next == '\n') {
                return true;
            }
        } else if (matches(PATTERN.charAt(matched), next)) {
            matched++;
            return false;
        }
        matched = next == 'H' ? 1 : 0;
        return false;
    }

    private static boolean matches(char pattern, int next) {
        return pattern == 'd' ? next >= '0' && next <= '9' : pattern == next;
    }
}
