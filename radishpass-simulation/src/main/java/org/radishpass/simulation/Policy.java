package org.radishpass.simulation;

import java.util.EnumSet;
import java.util.Set;

/**
 * An optional behaviour of the routers. The simulation switches policies off one by one to measure the effect of each.
 */
enum Policy {
    /** A request that may run more than once is sent to another endpoint when its answer is overdue. */
    SECOND_TRIES,
    /** An endpoint that rejects a request with Retry-After gets no requests until that time has passed. */
    BACKOFF,
    /** After a backoff, an endpoint gets a single request first, and more requests as it accepts them. */
    GRADUAL_RETURN,
    /** Routers end their backoffs for the same endpoint at different times, which a rendezvous hash determines. */
    SPREAD_RETURN,
    /** An endpoint whose answers are overdue three times in a row is left out when routers choose an endpoint. */
    SLOW_LEFT_OUT;

    /** Returns the policies that the production router applies: all except {@link #SPREAD_RETURN}. */
    static Set<Policy> all() {
        return EnumSet.complementOf(EnumSet.of(SPREAD_RETURN));
    }

    /** Returns the policies of {@link #all()} except one. */
    static Set<Policy> allBut(Policy without) {
        return EnumSet.complementOf(EnumSet.of(without, SPREAD_RETURN));
    }

    /** Returns the empty set of policies. */
    static Set<Policy> none() {
        return EnumSet.noneOf(Policy.class);
    }
}
