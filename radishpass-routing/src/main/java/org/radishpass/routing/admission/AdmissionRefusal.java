package org.radishpass.routing.admission;

/**
 * A refusal, with the inputs of the decision.
 *
 * @param reason why the request is refused
 * @param expectedWaitMillis the expected wait until the start, in milliseconds
 * @param startsPerSecond the measured rate of starts
 * @param queued the number of waiting requests
 * @param urgency the urgency of the request
 * @param leftMillis the time until the deadline of the request, in milliseconds
 * @param retryAfterMillis after how many milliseconds the caller should return
 * @since 0.8.0
 */
public record AdmissionRefusal(
        RefusalReason reason,
        long expectedWaitMillis,
        double startsPerSecond,
        int queued,
        int urgency,
        long leftMillis,
        long retryAfterMillis) {
    /** Returns the inputs of the decision as text for the log. */
    public String inputs() {
        return reason.label() + ", expected wait " + expectedWaitMillis + " ms, " + Math.round(startsPerSecond)
                + " starts/s, " + queued + " waiting, urgency " + urgency + ", " + leftMillis + " ms left";
    }
}
