package org.radishpass.routing.reachability;

/**
 * A service of which a router reaches no endpoint.
 *
 * @param service the service
 * @param sinceMillis since when, on the monotonic clock in milliseconds
 * @since 0.9.0
 */
public record UnreachedService(String service, long sinceMillis) {}
