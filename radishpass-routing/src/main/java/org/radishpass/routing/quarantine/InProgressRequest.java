package org.radishpass.routing.quarantine;

import java.util.List;

/**
 * A request that was in progress at an endpoint when the endpoint crashed.
 *
 * @param request the request
 * @param millis the time from sending the request to the crash, in milliseconds
 * @param unansweredParts the parts of the prompt that other requests may share; empty if the response had begun, because
 *     then the endpoint did not crash on any of them
 * @since 0.5.0
 */
public record InProgressRequest(RequestFingerprint request, long millis, List<PromptPartFingerprint> unansweredParts) {
    /** Creates a request in progress with a copy of the parts. */
    public InProgressRequest {
        unansweredParts = List.copyOf(unansweredParts);
    }

    /** Creates a request in progress without a prompt. */
    public InProgressRequest(RequestFingerprint request, long millis) {
        this(request, millis, List.of());
    }

    @Override
    public String toString() {
        return request + " for " + millis + " ms" + (unansweredParts.isEmpty() ? "" : " unanswered " + unansweredParts);
    }
}
