package org.radishpass.routing.admission;

/**
 * The properties of a request that decide about its admission. Times are in milliseconds on the monotonic clock.
 *
 * @param urgency the urgency; 0 is the most urgent
 * @param workspace the name of the workspace; empty if none
 * @param latestPunctualStartMillis the latest start with which the response usually begins within the latency target
 * @param latestStartMillis the latest start with which the response usually begins before the deadline
 * @param deadlineMillis when the response must be complete
 * @since 0.8.0
 */
public record AdmissionRequest(
        int urgency, String workspace, long latestPunctualStartMillis, long latestStartMillis, long deadlineMillis) {
    /** The number of urgencies. */
    public static final int URGENCIES = 10;

    /**
     * The time in milliseconds before the deadline at which a waiting request is refused at the latest, so that the
     * refusal is sent after the current iteration of the event loop and reaches its caller.
     */
    private static final long REFUSAL_MILLIS = 75;

    /** A request of which nothing is known. Such requests start newest first and are never refused. */
    public static final AdmissionRequest UNRANKED =
            new AdmissionRequest(0, "", Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    /**
     * Returns a request that has been received.
     *
     * @param urgency the urgency; 0 is the most urgent
     * @param workspace the name of the workspace; empty if none
     * @param times the times of the request
     */
    public static AdmissionRequest of(int urgency, String workspace, Times times) {
        return new AdmissionRequest(
                urgency,
                workspace,
                times.receivedAtMillis + times.targetMillis - times.usualMillis,
                times.deadlineMillis - times.usualMillis,
                times.deadlineMillis);
    }

    /** Returns until when the request may wait: its latest start, but early enough for a refusal to reach the caller. */
    long latestWaitMillis() {
        return Math.min(latestStartMillis, deadlineMillis - REFUSAL_MILLIS);
    }

    /**
     * The times of a request.
     *
     * @param receivedAtMillis when it was received, on the monotonic clock in milliseconds
     * @param targetMillis the latency target of the route, in milliseconds
     * @param usualMillis the usual time from the start to the first event, in milliseconds; 0 if unknown
     * @param deadlineMillis when the response must be complete, on the monotonic clock in milliseconds
     * @since 0.8.0
     */
    public record Times(long receivedAtMillis, long targetMillis, long usualMillis, long deadlineMillis) {}
}
