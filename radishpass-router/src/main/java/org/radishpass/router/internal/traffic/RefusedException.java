package org.radishpass.router.internal.traffic;

import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;

/**
 * Ends a request with a refusal.
 *
 * @since 0.1.0
 */
public final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates it.
     *
     * @param refusal the refusal
     */
    public RefusedException(Refusal refusal) {
        super(refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    /**
     * Returns a refusal of a request that provably did not run.
     *
     * @param code the stable code
     * @param detail one sentence for people
     */
    public static RefusedException notRun(RefusalCode code, String detail) {
        return new RefusedException(Refusal.notRun(code, detail));
    }

    /** Returns the refusal. */
    public Refusal refusal() {
        return refusal;
    }
}
