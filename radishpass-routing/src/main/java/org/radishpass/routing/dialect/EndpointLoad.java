package org.radishpass.routing.dialect;

/**
 * The load that an endpoint reports in a response.
 *
 * @param running the number of running requests
 * @param waiting the number of requests that wait for a slot
 * @param slots the number of requests that can run concurrently
 * @since 0.2.0
 */
public record EndpointLoad(int running, int waiting, int slots) {}
