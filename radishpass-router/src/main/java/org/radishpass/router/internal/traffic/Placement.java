package org.radishpass.router.internal.traffic;

import org.radishpass.core.fleet.Endpoint;

/**
 * The endpoint that was chosen for a request, and the slot that is reserved there.
 *
 * @param endpoint the chosen endpoint
 * @param slotId the id of the slot; policies without a load bound reserve no slot and use the id for the release only
 * @since 0.1.0
 */
public record Placement(Endpoint endpoint, long slotId) {}
