package org.radishpass.routing.admission;

/**
 * A refusal, with the inputs of the decision.
 *
 * @param decidedAtMillis when it was decided, on the monotonic clock in milliseconds
 * @param expectedWaitMillis the expected wait until the start, in milliseconds
 * @param startsPerSecond the measured rate of starts
 * @param queued the number of waiting requests
 * @param urgency the urgency of the request
 * @param deadlineMillis when the response must be complete, on the monotonic clock in milliseconds
 * @param returnAtMillis when the caller should return, on the monotonic clock in milliseconds
 * @since 0.8.0
 */
public record AdmissionRefusal(
        long decidedAtMillis,
        long expectedWaitMillis,
        double startsPerSecond,
        int queued,
        int urgency,
        long deadlineMillis,
        long returnAtMillis) {
    /** The resolution of the {@code Retry-After} header, and its smallest value, in milliseconds. */
    private static final long RETRY_AFTER_STEP_MILLIS = 10;

    /** Callers honour {@code Retry-After} up to their remaining time, divided by this number. */
    static final int MAX_RETURN_DIVISOR = 3;

    /** Returns the time until the deadline of the request, in milliseconds. */
    public long leftMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis);
    }

    /**
     * Returns after how many milliseconds the caller should return if the refusal is sent now. If the time to return has
     * passed meanwhile, more work is left than was expected: then the caller should return late, but early enough that
     * it can be answered once more after twice the delay, which grows while the overload lasts. The time is rounded
     * down, so that it does not exceed what callers honour, but it is never 0, which callers would take as an invitation
     * to return at once.
     */
    public long retryAfterMillis(long nowMillis) {
        long leftMillis = leftMillis(nowMillis);
        long delayMillis = nowMillis - decidedAtMillis;
        long wantedMillis = returnAtMillis > nowMillis ? returnAtMillis - nowMillis : leftMillis - 2 * delayMillis;
        long remainingMillis = Math.min(wantedMillis, leftMillis / MAX_RETURN_DIVISOR);
        return Math.max(1, remainingMillis / RETRY_AFTER_STEP_MILLIS) * RETRY_AFTER_STEP_MILLIS;
    }

    /**
     * Returns the inputs of the decision as text for the log.
     *
     * @param nowMillis when the refusal is sent, on the monotonic clock in milliseconds
     */
    public String inputs(long nowMillis) {
        return "expected wait " + expectedWaitMillis + " ms, " + Math.round(startsPerSecond)
                + " starts/s, " + queued + " waiting, urgency " + urgency + ", " + leftMillis(decidedAtMillis)
                + " ms left, sent " + (nowMillis - decidedAtMillis) + " ms after the decision, return after "
                + retryAfterMillis(nowMillis) + " ms";
    }
}
