package org.radishpass.routing.load;

import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.ServiceSpec;

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

        @Override
        public double requestsWithinShares(int slots) {
            return requests(slots);
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

        @Override
        public double requestsWithinShares(int slots) {
            return slots * PLAIN_REQUESTS_PER_SLOT_WITHIN_SHARES;
        }
    };

    private static final int ENGINE_QUEUED_REQUESTS = 4;
    private static final double PLAIN_REQUESTS_PER_SLOT = 2.5;

    /**
     * Below the five requests per slot at which a plain endpoint rejects requests, and above what routers estimate
     * while the shares keep the work in flight near its target.
     */
    private static final double PLAIN_REQUESTS_PER_SLOT_WITHIN_SHARES = 4;

    /**
     * Returns the limit for the endpoints of a service.
     *
     * @param spec the configuration of the service, or null if the configuration does not contain the service
     * @since 0.8.0
     */
    public static QueueLimit of(@Nullable ServiceSpec spec) {
        return spec != null && spec.engine().isPresent() ? ENGINE : PLAIN;
    }

    /**
     * Returns the number of requests in flight at which the endpoint is sent no further request.
     *
     * @param slots the number of requests that the endpoint runs concurrently
     */
    public abstract double requests(int slots);

    /**
     * Returns the number of requests in flight at which the endpoint is sent no further request, while the requests of
     * the whole fleet are admitted by shares of the capacity.
     *
     * @param slots the number of requests that the endpoint runs concurrently
     * @since 0.8.0
     */
    public abstract double requestsWithinShares(int slots);
}
