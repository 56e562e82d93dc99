package org.radishpass.routing.admission;

/**
 * Counts decisions on admission.
 *
 * @since 0.8.0
 */
public final class AdmissionStatistics {
    private long refusals;

    /** Returns the number of refusals. */
    public long refusals() {
        return refusals;
    }

    void refused() {
        refusals++;
    }
}
