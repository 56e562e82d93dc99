package org.radishpass.routing.admission;

/**
 * A refusal, with the inputs of the decision.
 *
 * @param reason why the request is refused
 * @param decidedAtMillis when it was decided, on the monotonic clock in milliseconds
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
        long decidedAtMillis,
        long expectedWaitMillis,
        double startsPerSecond,
        int queued,
        int urgency,
        long leftMillis,
        long retryAfterMillis) {
    /** The resolution of the {@code Retry-After} header, and its smallest value, in milliseconds. */
    private static final long RETRY_AFTER_STEP_MILLIS = 10;

    /** Callers honour {@code Retry-After} up to their remaining time, divided by this number. */
    static final int MAX_RETURN_DIVISOR = 3;

    /** Returns when the response must be complete, on the monotonic clock in milliseconds. */
    public long deadlineMillis() {
        return decidedAtMillis + leftMillis;
    }

    /**
     * Returns the refusal as it is to be sent at a later time. The time to return is rounded down, so that it does not
     * exceed what callers honour, but it is never 0, which callers would take as an invitation to return at once.
     */
    public AdmissionRefusal sentAt(long nowMillis) {
        long leftNowMillis = Math.max(0, deadlineMillis() - nowMillis);
        long remainingMillis =
                Math.min(decidedAtMillis + retryAfterMillis - nowMillis, leftNowMillis / MAX_RETURN_DIVISOR);
        long retryMillis = Math.max(1, remainingMillis / RETRY_AFTER_STEP_MILLIS) * RETRY_AFTER_STEP_MILLIS;
        return new AdmissionRefusal(
                reason, nowMillis, expectedWaitMillis, startsPerSecond, queued, urgency, leftNowMillis, retryMillis);
    }

    /** Returns the inputs of the decision as text for the log. */
    public String inputs() {
        return reason.label() + ", expected wait " + expectedWaitMillis + " ms, " + Math.round(startsPerSecond)
                + " starts/s, " + queued + " waiting, urgency " + urgency + ", " + leftMillis + " ms left";
    }
}
