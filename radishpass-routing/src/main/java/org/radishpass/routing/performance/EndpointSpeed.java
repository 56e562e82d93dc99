package org.radishpass.routing.performance;

import org.radishpass.routing.report.EndpointObservation;

/**
 * How fast an endpoint currently is, as far as the fleet knows.
 *
 * @param slowdown how long work takes compared with the usual time, as a factor; 1 if nothing recent is known
 * @param stated whether the endpoint states its slowdown; false if it is inferred from response times
 * @param running the running requests that the endpoint last stated; 0 if not stated
 * @param waiting the waiting requests that the endpoint last stated; 0 if not stated
 * @param observedAtMillis when the last response was received on which this is based, on the monotonic clock in
 *     milliseconds
 * @since 0.8.0
 */
public record EndpointSpeed(double slowdown, boolean stated, int running, int waiting, long observedAtMillis) {
    /** The speed of an endpoint of which nothing recent is known. */
    public static final EndpointSpeed USUAL = new EndpointSpeed(1, false, 0, 0, Long.MIN_VALUE);

    /**
     * The weight of the assumption that an endpoint has its usual speed, in samples. One stated figure counts half,
     * since the figure changes many times a second.
     */
    private static final double STATED_PRIOR_SAMPLES = 1;

    /** The same for response times, which differ between equal requests by a factor of 2 or more. */
    private static final double MEASURED_PRIOR_SAMPLES = 4;

    /** The number of response times without which an endpoint counts as usual. */
    private static final double MIN_MEASURED_SAMPLES = 8;

    /**
     * The slowdown from which response times show that an endpoint differs. The mean of 8 response times of an endpoint
     * of usual speed differs that much about once in a thousand, if each differs by a factor of 2.
     */
    private static final double MEASURED_DIFFERENCE = 2;

    private static final double PERCENT = 100;

    /** Tells whether something recent is known of the endpoint. */
    public boolean known() {
        return observedAtMillis != Long.MIN_VALUE;
    }

    /** Returns the slowdown in percent. */
    public int slowdownPercent() {
        return (int) Math.round(slowdown * PERCENT);
    }

    /**
     * Returns the speed that follows from an observation. The less recent the observation, the closer the speed is to
     * the usual one.
     *
     * @param observation the combined observation of all routers
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    static EndpointSpeed of(EndpointObservation observation, long nowMillis) {
        double weight = observation.weightAt(nowMillis);
        boolean stated = observation.stated();
        double prior = stated ? STATED_PRIOR_SAMPLES : MEASURED_PRIOR_SAMPLES;
        double slowdown = (prior + weight * observation.slowdownPercent() / PERCENT) / (prior + weight);
        if (!stated && !differs(slowdown, weight)) {
            return USUAL;
        }
        return new EndpointSpeed(
                slowdown, stated, observation.running(), observation.waiting(), observation.observedAtMillis());
    }

    private static boolean differs(double slowdown, double weight) {
        return weight >= MIN_MEASURED_SAMPLES
                && (slowdown >= MEASURED_DIFFERENCE || slowdown <= 1 / MEASURED_DIFFERENCE);
    }
}
