package org.radishpass.core.load;

import java.time.Instant;
import org.radishpass.core.admission.PriorityClass;

/**
 * Asks for a slot at an endpoint.
 *
 * @param slot the slot
 * @param priority the class of the request
 * @param bound the bound of the request's workspace
 * @param deadline when the slot lapses, by the owner's clock
 * @since 0.1.0
 */
public record SlotRequest(SlotId slot, PriorityClass priority, LoadBound bound, Instant deadline) {}
