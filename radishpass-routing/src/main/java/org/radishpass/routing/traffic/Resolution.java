package org.radishpass.routing.traffic;

import org.radishpass.core.outcome.RefusalCode;

/** The result of resolving a request, before anything is sent to an endpoint. */
sealed interface Resolution {
    /**
     * The request can be served.
     *
     * @param terms the terms on which the request is served
     */
    record Resolved(RequestTerms terms) implements Resolution {}

    /**
     * The request is refused and was not run.
     *
     * @param code the reason
     * @param detail a sentence that describes the reason
     * @param delay when the caller should retry
     */
    record Refused(RefusalCode code, String detail, RetryDelay delay) implements Resolution {}
}
