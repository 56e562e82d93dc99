package org.radishpass.routing.performance;

/** A mean of samples whose weights decrease exponentially with their age. Created by the first sample. */
final class DecayedMean {
    private final double decayMillis;
    private double sum;
    private double weight;
    private long lastSampleMillis;

    /**
     * Creates a mean without samples.
     *
     * @param decayMillis the time in which the weight of a sample decreases to 1/e, in milliseconds
     */
    DecayedMean(double decayMillis) {
        this.decayMillis = decayMillis;
    }

    void add(double sample, long nowMillis) {
        double kept = decay(nowMillis - lastSampleMillis, decayMillis);
        sum = sum * kept + sample;
        weight = weight * kept + 1;
        lastSampleMillis = nowMillis;
    }

    /** Returns the mean; 0 without samples. */
    double mean() {
        return weight == 0 ? 0 : sum / weight;
    }

    /** Returns the sum of the weights at the time of the last sample; 0 without samples. */
    double weight() {
        return weight;
    }

    /** Returns when the last sample was added, in milliseconds on the monotonic clock. */
    long lastSampleMillis() {
        return lastSampleMillis;
    }

    private static double decay(long ageMillis, double decayMillis) {
        return ageMillis <= 0 ? 1 : Math.exp(-ageMillis / decayMillis);
    }
}
