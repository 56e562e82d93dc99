package org.radishpass.core.outcome;

/**
 * A final answer other than the endpoint's own.
 *
 * @param code the stable code that the caller sees
 * @param verdict whether the request may have run
 * @param detail one sentence for people
 * @since 0.1.0
 */
public record Refusal(RefusalCode code, Verdict verdict, String detail) {
    /**
     * Returns a refusal of a request that provably did not run.
     *
     * @param code the stable code
     * @param detail one sentence for people
     */
    public static Refusal notRun(RefusalCode code, String detail) {
        return new Refusal(code, Verdict.NOT_RUN, detail);
    }
}
