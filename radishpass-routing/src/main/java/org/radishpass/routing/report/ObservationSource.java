package org.radishpass.routing.report;

import java.util.List;

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

    /**
     * Returns a source that supplies the observations of several sources.
     *
     * @param sources the sources; at most one of them may supply a given demand or load
     */
    static ObservationSource combined(List<ObservationSource> sources) {
        List<ObservationSource> parts = List.copyOf(sources);
        return nowMillis -> {
            FleetObservations all = FleetObservations.NONE;
            for (ObservationSource part : parts) {
                all = all.plus(part.observations(nowMillis));
            }
            return all;
        };
    }
}
