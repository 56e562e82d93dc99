package org.radishpass.routing.dialect;

/**
 * The load that an endpoint tells of itself.
 *
 * @param running requests that run
 * @param waiting requests that wait for a slot
 * @param slots requests that can run at once
 * @since 0.2.0
 */
public record EndpointLoad(int running, int waiting, int slots) {}
