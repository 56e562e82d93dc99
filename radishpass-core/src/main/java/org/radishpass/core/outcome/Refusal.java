package org.radishpass.core.outcome;

/**
 * A final answer to a request that a router gives in place of an endpoint's response.
 *
 * @param code the stable error code that the caller sees
 * @param verdict whether the request may have run at an endpoint
 * @param detail an explanation in one sentence, for human readers
 * @since 0.1.0
 */
public record Refusal(RefusalCode code, Verdict verdict, String detail) {
    /**
     * Returns a refusal of a request that provably did not run.
     *
     * @param code the stable error code that the caller sees
     * @param detail an explanation in one sentence, for human readers
     */
    public static Refusal notRun(RefusalCode code, String detail) {
        return new Refusal(code, Verdict.NOT_RUN, detail);
    }
}
