package org.radishpass.routing.config;

/**
 * The warm-up of a service's endpoints: the time after a start in which an endpoint is slow, and its capacity
 * meanwhile.
 *
 * @param millis the length of the warm-up, in milliseconds
 * @param requestsPerSecond the requests per second that an endpoint can handle during its warm-up
 * @since 0.6.0
 */
public record ColdStart(long millis, double requestsPerSecond) {}
