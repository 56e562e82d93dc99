package org.radishpass.router.internal.traffic;

import org.radishpass.core.fleet.Endpoint;

/**
 * Where a request may go.
 *
 * @param endpoint the endpoint
 * @param slotId the slot that is held there
 * @since 0.1.0
 */
public record Placed(Endpoint endpoint, long slotId) {}
