package org.radishpass.router.internal.traffic;

import org.radishpass.core.load.SlotAnswer;

/**
 * The result of a request for a slot.
 *
 * @param answer whether the slot was granted, or the reason for the denial
 * @param running the number of requests that run at the endpoint, as counted by the endpoint's owner
 * @param limit the maximum number of requests that the endpoint may run under the load bound
 * @since 0.1.0
 */
public record SlotResult(SlotAnswer answer, int running, int limit) {
    /** The owner did not reply in time; the request may be sent if this router's own load allows. */
    static final SlotResult UNCONFIRMED = new SlotResult(SlotAnswer.UNCONFIRMED, 0, 0);

    /** The owner did not reply in time, and this router's own load exceeds the bound. */
    static final SlotResult OVER_OWN_BOUND = new SlotResult(SlotAnswer.OVER_BOUND, 0, 0);

    /** Returns whether the request may be sent to the endpoint. */
    public boolean allowsSending() {
        return answer == SlotAnswer.GRANTED || answer == SlotAnswer.UNCONFIRMED;
    }
}
