package org.radishpass.routing.report;

/**
 * The load of an endpoint, as the endpoint stated it in a response.
 *
 * @param endpointId the endpoint
 * @param running the number of running requests
 * @param waiting the number of requests that wait for a slot
 * @param slots the number of requests that can run concurrently
 * @param slowdownPercent how long work takes at the endpoint compared with the usual time, in percent; 0 if not stated
 * @param samples the number of responses on which the observation is based
 * @param observedAtMillis when the last of these responses was received, on the monotonic clock of this router in
 *     milliseconds
 * @since 0.8.0
 */
public record EndpointObservation(
        String endpointId,
        int running,
        int waiting,
        int slots,
        int slowdownPercent,
        int samples,
        long observedAtMillis) {}
