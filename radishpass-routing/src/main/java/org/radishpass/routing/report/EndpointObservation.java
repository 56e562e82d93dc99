package org.radishpass.routing.report;

/**
 * The load and the slowdown of an endpoint, as the endpoint stated them in responses or, if it states no slowdown, as
 * its response times show.
 *
 * @param endpointId the endpoint
 * @param running the number of running requests; 0 if not stated
 * @param waiting the number of requests that wait for a slot; 0 if not stated
 * @param slots the number of requests that can run concurrently; 0 if the slowdown was measured by response times
 * @param slowdownPercent how long work takes at the endpoint compared with the usual time, in percent; the mean over
 *     the samples
 * @param samples the number of responses on which the slowdown is based, weighted by their age at the time of the last
 * @param observedAtMillis when the last of these responses was received, on the monotonic clock of this router in
 *     milliseconds
 * @since 0.8.0
 */
public record EndpointObservation(
        String endpointId,
        int running,
        int waiting,
        int slots,
        int slowdownPercent,
        int samples,
        long observedAtMillis) {
    /**
     * The time in which the weight of a stated slowdown decreases to 1/e, in milliseconds. The figure changes many times
     * a second, and the fleet receives about 5 per second of each engine.
     */
    public static final double STATED_DECAY_MILLIS = 1_500;

    /** The same for a slowdown measured by response times, which need more samples than stated figures. */
    public static final double MEASURED_DECAY_MILLIS = 10_000;

    /** The age up to which an observation is used, as a multiple of its decay time; 1/20 of its weight is left. */
    private static final double RECENT_DECAY_TIMES = 3;

    private static final int MIN_SLOWDOWN_PERCENT = 1;
    private static final int MAX_SLOWDOWN_PERCENT = 10_000;
    private static final int MAX_COUNT = 1_000_000;

    /**
     * Returns an observation that is based on response times.
     *
     * @param endpointId the endpoint
     * @param slowdownPercent the response time compared with the usual one, in percent
     * @param samples the number of responses, weighted by their age
     * @param observedAtMillis when the last response was received, on the monotonic clock in milliseconds
     */
    public static EndpointObservation measured(
            String endpointId, int slowdownPercent, int samples, long observedAtMillis) {
        return new EndpointObservation(endpointId, 0, 0, 0, slowdownPercent, samples, observedAtMillis);
    }

    /** Tells whether the endpoint states its slowdown; otherwise it was measured by response times. */
    public boolean stated() {
        return slots > 0;
    }

    /** Tells whether all figures are possible. Observations of peers that are not are ignored. */
    public boolean plausible() {
        return slowdownPercent >= MIN_SLOWDOWN_PERCENT
                && slowdownPercent <= MAX_SLOWDOWN_PERCENT
                && samples >= 1
                && samples <= MAX_COUNT
                && inRange(running)
                && inRange(waiting)
                && inRange(slots);
    }

    private static boolean inRange(int count) {
        return count >= 0 && count <= MAX_COUNT;
    }

    /**
     * Tells whether the observation is recent enough to be used.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean recent(long nowMillis) {
        return nowMillis - observedAtMillis <= RECENT_DECAY_TIMES * decayMillis();
    }

    /**
     * Returns the weight of the observation in samples, reduced by its age.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public double weightAt(long nowMillis) {
        return samples * Math.exp(-Math.max(0, nowMillis - observedAtMillis) / decayMillis());
    }

    private double decayMillis() {
        return stated() ? STATED_DECAY_MILLIS : MEASURED_DECAY_MILLIS;
    }
}
