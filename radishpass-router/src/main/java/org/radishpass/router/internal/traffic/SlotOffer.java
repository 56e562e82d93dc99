package org.radishpass.router.internal.traffic;

import org.radishpass.core.load.SlotAnswer;

/**
 * What came of asking for a slot.
 *
 * @param answer granted or why not
 * @param running the endpoint's load as its owner counts it
 * @param limit the most that it may run
 * @since 0.1.0
 */
public record SlotOffer(SlotAnswer answer, int running, int limit) {
    /** No answer in time, and the router's own part allows it. */
    static final SlotOffer UNCONFIRMED = new SlotOffer(SlotAnswer.UNCONFIRMED, 0, 0);

    /** No answer in time, and the router's own part does not allow it. */
    static final SlotOffer OVER_OWN_BOUND = new SlotOffer(SlotAnswer.OVER_BOUND, 0, 0);

    /** Tells whether the request may go out. */
    public boolean mayGo() {
        return answer == SlotAnswer.GRANTED || answer == SlotAnswer.UNCONFIRMED;
    }
}
