package org.radishpass.simulation;

/** An endpoint as a model, and what can go wrong with it. */
interface SimulatedEndpoint {
    /** Takes a run. */
    void submit(Run run);

    /**
     * From now on it works slower.
     *
     * @param factor how many times as long its work takes; 1 is sound
     */
    void slowBy(double factor);

    /** From now on it is silent, or it works again. Connections to a silent one are not made. */
    void silent(boolean isSilent);

    /**
     * From now on it takes few new runs and rejects the others, or it takes all that it has room for.
     *
     * @param most the runs that it has at most when it takes another one
     * @param backoffMillis its Retry-After, in milliseconds; 0 if it rejects none
     */
    void shed(int most, long backoffMillis);

    /** Tells whether it is silent. */
    boolean isSilent();

    /** Returns the runs that it has, those that wait included. */
    int load();
}
