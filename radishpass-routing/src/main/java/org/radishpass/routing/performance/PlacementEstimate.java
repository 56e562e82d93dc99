package org.radishpass.routing.performance;

/**
 * What was estimated of a request at its chosen endpoint.
 *
 * @param tokensToRead the prompt tokens that are probably not cached at the endpoint
 * @param expectedMillis the expected time to the first event, in milliseconds; negative if it was not estimated because
 *     the endpoints do not differ
 * @param speed the speed of the endpoint
 * @since 0.8.0
 */
public record PlacementEstimate(int tokensToRead, double expectedMillis, EndpointSpeed speed) {
    private static final double NOT_ESTIMATED = -1;

    /**
     * Returns the estimate of a request whose endpoint was chosen without regard to speed.
     *
     * @param tokensToRead the prompt tokens that are probably not cached at the endpoint
     */
    public static PlacementEstimate withoutTime(int tokensToRead) {
        return new PlacementEstimate(tokensToRead, NOT_ESTIMATED, EndpointSpeed.USUAL);
    }

    /** Tells whether the expected time was estimated. */
    public boolean timeEstimated() {
        return expectedMillis >= 0;
    }
}
