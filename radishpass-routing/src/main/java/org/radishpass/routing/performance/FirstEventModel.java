package org.radishpass.routing.performance;

/**
 * Learns how long the endpoints of one service usually take to the first event of a response: a base time, and a time
 * for each prompt token that must be read. A linear regression in which recent responses count most.
 */
final class FirstEventModel {
    /** The factor by which each response reduces the weight of earlier ones: the last 100 responses count most. */
    private static final double KEPT_PER_SAMPLE = 0.99;

    /** The time that counts at most for one response, as a multiple of the expected time: outliers change little. */
    private static final double MAX_MULTIPLE = 10;

    /** The longest plausible reading time of a thousand tokens, in milliseconds; engines read them in 6 to 15 ms. */
    private static final double MAX_MILLIS_PER_THOUSAND = 200;

    private static final double MIN_BASE_MILLIS = 1;
    private static final double THOUSAND = 1_000;

    /** The spread of prompt sizes, in thousands of tokens squared, below which no reading time can be learned. */
    private static final double MIN_VARIANCE = 0.000_1;

    /** The assumed times before the first response, for prompts without tokens and with 10,000 tokens. */
    private static final double ASSUMED_BASE_MILLIS = 50;

    private static final double ASSUMED_LONG_THOUSANDS = 10;
    private static final double ASSUMED_LONG_MILLIS = 150;

    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumProducts;
    private double baseMillis;
    private double millisPerThousand;
    private int samples;

    FirstEventModel() {
        accumulate(0, ASSUMED_BASE_MILLIS);
        accumulate(ASSUMED_LONG_THOUSANDS, ASSUMED_LONG_MILLIS);
        fit();
    }

    /**
     * Adds a response.
     *
     * @param tokens the prompt tokens that were probably read
     * @param millis the time to the first event at an endpoint of usual speed, in milliseconds
     */
    void add(int tokens, double millis) {
        samples++;
        accumulate(tokens / THOUSAND, Math.min(millis, MAX_MULTIPLE * expectedMillis(tokens)));
        fit();
    }

    /** Returns the number of responses so far. */
    int samples() {
        return samples;
    }

    /** Returns the usual time to the first event of a response, in milliseconds. */
    double expectedMillis(int tokens) {
        return baseMillis + readingMillis(tokens);
    }

    /** Returns the usual time to read prompt tokens, in milliseconds. */
    double readingMillis(int tokens) {
        return millisPerThousand * tokens / THOUSAND;
    }

    private void accumulate(double thousands, double millis) {
        weight = weight * KEPT_PER_SAMPLE + 1;
        sumTokens = sumTokens * KEPT_PER_SAMPLE + thousands;
        sumMillis = sumMillis * KEPT_PER_SAMPLE + millis;
        sumTokensSquared = sumTokensSquared * KEPT_PER_SAMPLE + thousands * thousands;
        sumProducts = sumProducts * KEPT_PER_SAMPLE + thousands * millis;
    }

    private void fit() {
        double meanTokens = sumTokens / weight;
        double meanMillis = sumMillis / weight;
        double variance = sumTokensSquared / weight - meanTokens * meanTokens;
        if (variance > MIN_VARIANCE) {
            double slope = (sumProducts / weight - meanTokens * meanMillis) / variance;
            millisPerThousand = Math.min(MAX_MILLIS_PER_THOUSAND, Math.max(0, slope));
        }
        baseMillis = Math.max(MIN_BASE_MILLIS, meanMillis - millisPerThousand * meanTokens);
    }
}
