package org.radishpass.core.once;

/**
 * What an attempt may do after it tried to write a claim for its request.
 *
 * @since 0.1.0
 */
public sealed interface ClaimDecision {
    /**
     * The claim belongs to this attempt, which may send the request to an endpoint once.
     *
     * @since 0.1.0
     */
    record Run() implements ClaimDecision {}

    /**
     * The request ran before, and the caller gets the recorded response.
     *
     * @param claim the claim with the recorded response
     * @since 0.1.0
     */
    record Replay(Claim claim) implements ClaimDecision {}

    /**
     * The claim belongs to another attempt. The request may have run, so this attempt does not run it.
     *
     * @since 0.1.0
     */
    record InProgress() implements ClaimDecision {}

    /**
     * The idempotency key was used before for a different request.
     *
     * @since 0.1.0
     */
    record KeyReused() implements ClaimDecision {}

    /**
     * The store cannot be reached, so this attempt has no confirmed claim and must not run the request.
     *
     * @param detail a description of the failure
     * @since 0.1.0
     */
    record Unavailable(String detail) implements ClaimDecision {}
}
