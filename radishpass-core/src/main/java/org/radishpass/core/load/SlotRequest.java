package org.radishpass.core.load;

import java.time.Instant;
import org.radishpass.core.admission.PriorityClass;

/**
 * A router's request for a slot at an endpoint. A slot is the permission to have one request in progress at the
 * endpoint.
 *
 * @param slot the id of the slot
 * @param priority the priority class of the request that will use the slot
 * @param bound the load bound that applies to the workspace of that request
 * @param deadline the time at which the slot expires, by the clock of the endpoint's owner
 * @since 0.1.0
 */
public record SlotRequest(SlotId slot, PriorityClass priority, LoadBound bound, Instant deadline) {}
