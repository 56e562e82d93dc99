package org.radishpass.routing.report;

/**
 * Supplies what this router itself observes. Called on the traffic thread.
 *
 * @since 0.8.0
 */
public interface ObservationSource {
    /**
     * Returns the observations of this router alone; {@link FleetObservations#NONE} while no decision needs them, so
     * that nothing is reported.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    FleetObservations observations(long nowMillis);
}
