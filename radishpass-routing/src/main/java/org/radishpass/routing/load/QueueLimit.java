package org.radishpass.routing.load;

/**
 * Limits the requests in flight at one endpoint. Above the limit a request is refused instead of queued at the
 * endpoint.
 *
 * @since 0.4.0
 */
public enum QueueLimit {
    /** Limit of model engines: the slots plus a few requests, since the reports of peers lag by about as many. */
    ENGINE {
        @Override
        public double requests(int slots) {
            return slots + ENGINE_QUEUED_REQUESTS;
        }
    },
    /**
     * Limit of plain services: a queued request waits for at most two others per slot, far below the latency target.
     */
    PLAIN {
        @Override
        public double requests(int slots) {
            return slots * PLAIN_REQUESTS_PER_SLOT;
        }
    };

    private static final int ENGINE_QUEUED_REQUESTS = 4;
    private static final double PLAIN_REQUESTS_PER_SLOT = 2.5;

    /**
     * Returns the number of requests in flight at which the endpoint is sent no further request.
     *
     * @param slots the number of requests that the endpoint runs concurrently
     */
    public abstract double requests(int slots);
}
