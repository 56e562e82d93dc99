package org.radishpass.routing.exchange;

import io.netty.buffer.ByteBuf;
import org.radishpass.routing.framing.StatusLineDetector;

/**
 * Counts what is skipped while a request waits for its response: informational responses, and responses to other requests.
 *
 * @since 0.16.0
 */
public final class SkippedResponses {
    private static final int MAX_RESPONSES = 32;
    private static final long MAX_BYTES = 1_048_576;

    private int responses;
    private long bytes;
    private boolean insideResponse;
    private boolean desynchronized;
    private final StatusLineDetector detector = new StatusLineDetector();

    /** Forgets what was skipped, since another request is sent. */
    public void reset() {
        responses = 0;
        bytes = 0;
        insideResponse = false;
        desynchronized = false;
    }

    /** Records the head of a response that is skipped. */
    public void headSkipped() {
        responses++;
        insideResponse = true;
        detector.reset();
    }

    /**
     * Records a part of a body that is skipped.
     *
     * @param part the part
     * @param last whether the response ends with it
     */
    public void contentSkipped(ByteBuf part, boolean last) {
        bytes += part.readableBytes();
        desynchronized = desynchronized || detector.find(part, part.readerIndex(), part.writerIndex());
        insideResponse = insideResponse && !last;
    }

    /**
     * Tells whether a body that is skipped holds a status line. It was most likely cut, and the response that is awaited is
     * taken for its rest.
     */
    public boolean desynchronized() {
        return desynchronized;
    }

    /** Tells whether a response that is skipped has not ended. */
    public boolean insideResponse() {
        return insideResponse;
    }

    /** Tells whether more was skipped than an endpoint may send before its response. */
    public boolean exceeded() {
        return responses > MAX_RESPONSES || bytes > MAX_BYTES;
    }
}
