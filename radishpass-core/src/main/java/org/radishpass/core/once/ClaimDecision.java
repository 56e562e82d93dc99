package org.radishpass.core.once;

/**
 * What a request may do after it asked for a claim.
 *
 * @since 0.1.0
 */
public sealed interface ClaimDecision {
    /**
     * The claim is this attempt's: it may be sent, once.
     *
     * @since 0.1.0
     */
    record Run() implements ClaimDecision {}

    /**
     * It ran before; its answer is given again.
     *
     * @param claim the claim with the answer
     * @since 0.1.0
     */
    record Replay(Claim claim) implements ClaimDecision {}

    /**
     * Another attempt holds the claim: it may have run, and is not run again.
     *
     * @since 0.1.0
     */
    record InProgress() implements ClaimDecision {}

    /**
     * The key stands for a different request.
     *
     * @since 0.1.0
     */
    record KeyReused() implements ClaimDecision {}

    /**
     * The store could not be asked and holds no claim of this attempt that could run.
     *
     * @param detail what failed
     * @since 0.1.0
     */
    record Unavailable(String detail) implements ClaimDecision {}
}
