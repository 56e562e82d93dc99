package org.radishpass.routing.quarantine;

/**
 * A request that was at work at an endpoint when that ended.
 *
 * @param request the request
 * @param millis for how long, in milliseconds since it was sent there
 * @since 0.5.0
 */
public record AtWork(RequestFingerprint request, long millis) {
    @Override
    public String toString() {
        return request + " for " + millis + " ms";
    }
}
