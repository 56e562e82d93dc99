package org.radishpass.routing.quarantine;

/**
 * A request that was in progress at an endpoint when the endpoint crashed.
 *
 * @param request the request
 * @param millis the time from sending the request to the crash, in milliseconds
 * @since 0.5.0
 */
public record InProgressRequest(RequestFingerprint request, long millis) {
    @Override
    public String toString() {
        return request + " for " + millis + " ms";
    }
}
