package org.radishpass.routing.fleet;

/**
 * Identifies one run of an endpoint that may restart under the same name. Two incarnations of one name share no state:
 * all knowledge of the earlier incarnation is discarded. Reads of the store tell which of two incarnations is the
 * later one. The start times do not, since wall clocks can jump.
 *
 * @param startedAtMillis the start time on the endpoint's own wall clock, in Unix milliseconds; negative if not stated
 * @since 0.4.0
 */
public record Incarnation(long startedAtMillis) {
    /**
     * The incarnation of an endpoint that does not state its start time; such an endpoint has a new name in each run.
     */
    public static final Incarnation UNKNOWN = new Incarnation(-1);

    /** Tells whether the endpoint has stated its start time. */
    public boolean known() {
        return startedAtMillis >= 0;
    }
}
