package org.radishpass.routing.traffic;

import org.radishpass.core.outcome.RefusalCode;

/** What was found out of a request before anything is sent for it. */
sealed interface Resolution {
    /**
     * It can be served.
     *
     * @param terms on what terms
     */
    record Resolved(Terms terms) implements Resolution {}

    /**
     * It is refused; it has not run.
     *
     * @param code why
     * @param detail for people
     * @param delay when to come back
     */
    record Refused(RefusalCode code, String detail, RetryDelay delay) implements Resolution {}
}
