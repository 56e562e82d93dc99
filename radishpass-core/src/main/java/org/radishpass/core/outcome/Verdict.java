package org.radishpass.core.outcome;

/**
 * Says whether a request may have run at an endpoint.
 *
 * @since 0.1.0
 */
public enum Verdict {
    /** It did not run, and provably never will. */
    NOT_RUN,
    /** Nobody here can tell. */
    MAY_HAVE_RUN,
    /** It ran. */
    RAN;

    /**
     * Returns what is true of a request of which two attempts had these verdicts.
     *
     * @param other the verdict on the other attempt
     */
    public Verdict and(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /**
     * Tells whether a request with this verdict may be sent again.
     *
     * @param idempotent whether running it twice does no harm
     */
    public boolean allowsRetry(boolean idempotent) {
        return this == NOT_RUN || (idempotent && this == MAY_HAVE_RUN);
    }
}
