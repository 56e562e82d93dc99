package org.radishpass.routing.framing;

/**
 * Whether a part of a response may follow what the caller has been sent before.
 *
 * @since 0.12.0
 */
public sealed interface ContinuationDecision {
    /** The decision that the part may follow. */
    ContinuationDecision ACCEPTED = new Accepted();

    /**
     * The part may follow.
     *
     * @since 0.12.0
     */
    record Accepted() implements ContinuationDecision {}

    /**
     * The part belongs to something else. Neither it nor the rest of its response is sent to the caller.
     *
     * @param cause what does not match, as written to logs
     * @since 0.12.0
     */
    record Rejected(String cause) implements ContinuationDecision {}
}
