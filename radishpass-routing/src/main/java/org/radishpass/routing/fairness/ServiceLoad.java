package org.radishpass.routing.fairness;

/**
 * The work in flight at the endpoints of a service that accept requests, as known at this router.
 *
 * @param slots the requests that the endpoints run concurrently
 * @param inFlight the requests in flight, including queued ones
 * @param limit the requests in flight above which a request is refused
 * @since 0.8.0
 */
public record ServiceLoad(int slots, int inFlight, double limit) {
    /**
     * The part of the requests that may be queued that is queued at the target. With less, more slots are unused; with
     * more, the halves of a partitioned fleet together overfill the endpoints.
     */
    private static final double TARGET_QUEUE_FRACTION = 0.6;

    /**
     * Tells whether under half of the slots are in use. The other half is left to more urgent requests that arrive, or
     * that other routers send, before the next reports of work in flight.
     *
     * @param routers the routers among which the known work in flight has to be kept under half of the slots; a router
     *     that knows of its own work only leaves the same room for each of the others, and sends at least one request
     */
    boolean underHalfUsed(int routers) {
        return 2 * inFlight < Math.max(Math.min(2, slots), (double) slots / routers);
    }

    /**
     * Returns the number of requests in flight at which the slots are in use nearly all the time although arrivals
     * fluctuate.
     */
    double target() {
        return slots + TARGET_QUEUE_FRACTION * (limit - slots);
    }
}
