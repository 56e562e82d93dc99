package org.radishpass.router.internal.traffic;

import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;

/**
 * Thrown to end a request with a refusal.
 *
 * @since 0.1.0
 */
public final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates an exception without a stack trace.
     *
     * @param refusal the refusal to send to the caller
     */
    public RefusedException(Refusal refusal) {
        super(refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    /**
     * Returns an exception that refuses a request which certainly did not run.
     *
     * @param code the stable error code
     * @param detail a description for the caller
     */
    public static RefusedException notRun(RefusalCode code, String detail) {
        return new RefusedException(Refusal.notRun(code, detail));
    }

    /** Returns the refusal to send to the caller. */
    public Refusal refusal() {
        return refusal;
    }
}
