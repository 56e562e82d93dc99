package org.radishpass.routing.framing;

import io.netty.buffer.ByteBuf;

/** Checks the bytes of a response's head, in any parts, up to the empty line that ends it. */
final class ResponseHeadChecker {
    private final LengthHeaders lengths = new LengthHeaders();
    private final StatusLineChecker statusLine = new StatusLineChecker();
    private final HeaderLineChecker headers = new HeaderLineChecker(lengths);
    private boolean begun;
    private boolean inHeaders;
    private boolean ended;

    /** Prepares for the next head. */
    void reset() {
        statusLine.reset();
        headers.reset();
        begun = false;
        inHeaders = false;
        ended = false;
    }

    /** Tells whether a byte was seen. */
    boolean begun() {
        return begun;
    }

    /** Tells whether the head is complete. */
    boolean ended() {
        return ended;
    }

    /** Tells whether the body is chunked. */
    boolean chunked() {
        return lengths.chunked();
    }

    /**
     * Checks the next bytes.
     *
     * @return the index behind the last byte that belongs to the head
     */
    int check(ByteBuf bytes, int from, int to) {
        int index = from;
        while (index < to && !ended) {
            begun = true;
            accept(bytes.getByte(index));
            index++;
        }
        return index;
    }

    private void accept(int next) {
        if (!inHeaders) {
            inHeaders = statusLine.accept(next);
        } else if (headers.accept(next)) {
            ended = true;
            if (lengths.chunked() && statusLine.version10()) {
                throw new MalformedResponseException(HeadDefect.INVALID_TRANSFER_ENCODING);
            }
        }
    }
}
