package org.radishpass.simulation;

import java.util.EnumSet;
import java.util.Set;

/** What routers do beyond the least; switched off one by one to see what each is worth. */
enum Policy {
    /** What may run again is tried elsewhere when its answer is overdue. */
    SECOND_TRIES,
    /** Endpoints that reject requests with Retry-After are sent nothing until it is over. */
    BACKOFF,
    /** After a backoff one request is sent first, and more as they are accepted. */
    GRADUAL_RETURN,
    /** The ends of backoffs are spread over the routers, by rendezvous. */
    SPREAD_RETURN,
    /** Endpoints whose answers are overdue three times in a row are left out. */
    SLOW_LEFT_OUT;

    /** Returns all policies of the product. */
    static Set<Policy> all() {
        return EnumSet.complementOf(EnumSet.of(SPREAD_RETURN));
    }

    /** Returns all but one. */
    static Set<Policy> allBut(Policy without) {
        return EnumSet.complementOf(EnumSet.of(without, SPREAD_RETURN));
    }

    /** Returns no policy. */
    static Set<Policy> none() {
        return EnumSet.noneOf(Policy.class);
    }
}
