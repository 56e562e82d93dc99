package org.radishpass.simulation;

/** A model of an endpoint whose faults can be switched on and off. */
interface SimulatedEndpoint {
    /** Starts a run, queues it, or rejects it. */
    void submit(Run run);

    /**
     * Sets the speed of this endpoint for work that starts from now on.
     *
     * @param factor the factor by which work takes longer; 1 is the normal speed
     */
    void slowBy(double factor);

    /** Makes this endpoint silent, or lets it work again. Connection attempts to a silent endpoint time out. */
    void silent(boolean isSilent);

    /**
     * Starts or stops the rejection of new runs while this endpoint has more than a number of runs.
     *
     * @param maxLoad the maximum number of runs at which this endpoint still accepts another run
     * @param backoffMillis the Retry-After of rejections, in milliseconds; 0 stops these rejections
     */
    void shed(int maxLoad, long backoffMillis);

    /** Returns whether this endpoint is silent. */
    boolean isSilent();

    /** Returns the number of runs at this endpoint, running and waiting. */
    int load();
}
