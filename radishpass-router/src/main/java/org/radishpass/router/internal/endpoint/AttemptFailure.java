package org.radishpass.router.internal.endpoint;

import org.radishpass.core.outcome.Verdict;

/**
 * An attempt at an endpoint that did not bring a whole answer.
 *
 * @since 0.1.0
 */
public final class AttemptFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Verdict verdict;

    /**
     * Creates it.
     *
     * @param verdict whether the request may have run
     * @param message what happened
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
