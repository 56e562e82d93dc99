package org.radishpass.routing.admission;

/** The number of requests that the router starts per second while requests wait. */
final class StartRate {
    /**
     * The assumed rate of a process that has just started: eight requests take half a second on an eighth of a core
     * before their code is compiled.
     */
    static final double COLD_STARTS_PER_SECOND = 16;

    /** The time in milliseconds for which the assumed rate counts; a quarter of a second of measurement outweighs it. */
    private static final double ASSUMED_MILLIS = 250;

    /**
     * The maximum weight in milliseconds of earlier backlogs when a backlog begins. The router may have become faster
     * since, as after a cold start.
     */
    private static final double EARLIER_MILLIS = 100;

    /**
     * The maximum weight in milliseconds of one iteration. A suspension or a stall says little about the rate
     * afterwards.
     */
    private static final long MAX_ITERATION_MILLIS = 250;

    private static final double TIME_CONSTANT_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double starts = COLD_STARTS_PER_SECOND * ASSUMED_MILLIS / MILLIS_PER_SECOND;
    private double millis = ASSUMED_MILLIS;

    /** Reduces the weight of what was measured in earlier backlogs. */
    void backlogBegins() {
        double kept = Math.min(1, EARLIER_MILLIS / millis);
        starts *= kept;
        millis *= kept;
    }

    /**
     * Records the starts of an iteration of the event loop after which requests still waited.
     *
     * @param started the number of requests that were started
     * @param elapsedMillis the time until the next iteration, in milliseconds
     */
    void record(int started, long elapsedMillis) {
        long countedMillis = Math.min(elapsedMillis, MAX_ITERATION_MILLIS);
        double kept = Math.exp(-countedMillis / TIME_CONSTANT_MILLIS);
        starts = starts * kept + started;
        millis = millis * kept + countedMillis;
    }

    double perSecond() {
        return starts * MILLIS_PER_SECOND / millis;
    }
}
