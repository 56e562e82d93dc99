package org.radishpass.routing.config;

/**
 * What an endpoint of a service bears shortly after its start, while it is slow.
 *
 * @param millis how long it is cold, in milliseconds
 * @param requestsPerSecond the requests that it bears in that time
 * @since 0.6.0
 */
public record ColdStart(long millis, double requestsPerSecond) {}
