package org.radishpass.router.internal.endpoint;

import org.radishpass.core.outcome.Verdict;

/**
 * Thrown when an attempt at an endpoint did not produce a complete response.
 *
 * @since 0.1.0
 */
public final class AttemptFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Verdict verdict;

    /**
     * Creates a failure without a stack trace.
     *
     * @param verdict whether the request may have run
     * @param message the cause of the failure
     */
    public AttemptFailure(Verdict verdict, String message) {
        super(message, null, false, false);
        this.verdict = verdict;
    }

    /** Returns whether the request may have run. */
    public Verdict verdict() {
        return verdict;
    }
}
