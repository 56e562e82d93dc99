package org.radishpass.routing.admission;

/** The rate of events, averaged with exponentially decreasing weights. */
final class DecayedRate {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double timeConstantMillis;
    private double weight;
    private long updatedAtMillis;

    /**
     * Creates a rate of zero.
     *
     * @param timeConstantMillis the time in milliseconds in which the weight of an event falls to 1/e
     */
    DecayedRate(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    void record(long nowMillis) {
        decay(nowMillis);
        weight++;
    }

    double perSecond(long nowMillis) {
        decay(nowMillis);
        return weight * MILLIS_PER_SECOND / timeConstantMillis;
    }

    private void decay(long nowMillis) {
        if (nowMillis > updatedAtMillis) {
            weight *= Math.exp((updatedAtMillis - nowMillis) / timeConstantMillis);
            updatedAtMillis = nowMillis;
        }
    }
}
