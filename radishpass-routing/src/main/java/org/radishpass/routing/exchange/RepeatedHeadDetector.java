package org.radishpass.routing.exchange;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import org.radishpass.routing.framing.StatusLineDetector;

/**
 * Finds the head of a response inside the body of the response to the same request: a status line, and soon behind it a header
 * whose value is the id of the request. The endpoint has broken the body off and responded anew.
 */
final class RepeatedHeadDetector {
    /** The bytes behind a status line within which the id is looked for; more than the head of a usual response. */
    private static final int MAX_HEAD_BYTES = 2_048;

    private final StatusLineDetector detector = new StatusLineDetector();
    private final StringBuilder head = new StringBuilder();
    private final String requestId;
    private int remainingHeadBytes;

    /**
     * Creates a detector that has seen nothing.
     *
     * @param requestId the id of the request; empty if it has none, so that nothing is found
     */
    RepeatedHeadDetector(String requestId) {
        this.requestId = requestId;
    }

    /** Tells whether such a head is found in a part of the body, which follows the parts before. */
    boolean beginsAgain(ByteBuf part) {
        int index = part.readerIndex();
        int end = part.writerIndex();
        while (!requestId.isEmpty() && index < end) {
            if (remainingHeadBytes == 0) {
                index = detector.endIndex(part, index, end);
                if (index < 0) {
                    return false;
                }
                remainingHeadBytes = MAX_HEAD_BYTES;
                head.setLength(0);
            }
            int taken = Math.min(remainingHeadBytes, end - index);
            head.append(part.toString(index, taken, StandardCharsets.ISO_8859_1));
            remainingHeadBytes -= taken;
            index += taken;
            if (head.indexOf(": " + requestId + "\r\n") >= 0) {
                return true;
            }
        }
        return false;
    }
}
