package org.radishpass.routing.admission;

/**
 * Estimates how long a waiting request of one urgency waits until it starts.
 *
 * @param startsPerSecond the rate of starts
 * @param aheadByUrgency the number of waiting requests that are more urgent
 * @param inflowByUrgency the arrivals per second of more urgent requests
 * @param reservedPerSecond the starts per second that are reserved for the urgency
 * @param credit the number of starts reserved for the urgency that it has not used yet
 * @param inflowSeconds for how long the inflow is expected to last
 */
record WaitEstimate(
        double startsPerSecond,
        int aheadByUrgency,
        double inflowByUrgency,
        double reservedPerSecond,
        double credit,
        double inflowSeconds) {
    /**
     * Requests at a position that is reached within this time, in seconds, are not expected to be overtaken by later
     * ones of the same urgency. Without this rule, all requests would be refused in a long overload, and the router
     * would run out of work.
     */
    private static final double NEXT_SECONDS = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the expected wait in milliseconds.
     *
     * @param position the number of requests of the same urgency that start up to and including this one
     * @param inflow the arrivals per second of requests of the same urgency that start before this one
     */
    double waitMillis(double position, double inflow) {
        double overtaking = position > startsPerSecond * NEXT_SECONDS ? inflow : 0;
        double byUrgency = seconds(aheadByUrgency + position, inflowByUrgency + overtaking, startsPerSecond);
        double byReserve = seconds(Math.max(0, position - credit), overtaking, reservedPerSecond);
        return Math.min(byUrgency, byReserve) * MILLIS_PER_SECOND;
    }

    private double seconds(double ahead, double inflow, double rate) {
        if (rate <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        double whileItLasts = (ahead + inflow * inflowSeconds) / rate;
        return inflow < rate ? Math.min(ahead / (rate - inflow), whileItLasts) : whileItLasts;
    }
}
