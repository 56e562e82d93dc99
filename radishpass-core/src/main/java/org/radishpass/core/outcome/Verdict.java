package org.radishpass.core.outcome;

/**
 * The knowledge of whether a request ran at an endpoint, ordered from certainly not run to certainly run.
 *
 * @since 0.1.0
 */
public enum Verdict {
    /** The request did not run and provably never will. */
    NOT_RUN,
    /** The request may have run; the router cannot determine whether it did. */
    MAY_HAVE_RUN,
    /** The request ran. */
    RAN;

    /**
     * Returns the verdict on a request from the verdicts on two of its attempts.
     *
     * @param other the verdict on the other attempt
     */
    public Verdict combinedWith(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /**
     * Returns whether a request with this verdict may be sent again.
     *
     * @param idempotent whether running the request twice has the same effect as running it once
     */
    public boolean allowsRetry(boolean idempotent) {
        return this == NOT_RUN || (idempotent && this == MAY_HAVE_RUN);
    }
}
