package org.radishpass.routing.connection;

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

    /** Forgets what was skipped, since another request is sent. */
    public void reset() {
        responses = 0;
        bytes = 0;
        insideResponse = false;
    }

    /** Records the head of a response that is skipped. */
    public void headSkipped() {
        responses++;
        insideResponse = true;
    }

    /**
     * Records a part of a body that is skipped.
     *
     * @param length the length of the part in bytes
     * @param last whether the response ends with it
     */
    public void contentSkipped(int length, boolean last) {
        bytes += length;
        insideResponse = insideResponse && !last;
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
