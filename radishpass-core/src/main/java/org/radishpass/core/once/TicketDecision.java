package org.radishpass.core.once;

/**
 * What a request with a ticket may do.
 *
 * @param <R> the result of a run
 * @since 0.1.0
 */
public sealed interface TicketDecision<R> {
    /**
     * It may run now.
     *
     * @param <R> the result of a run
     * @since 0.1.0
     */
    record Begin<R>() implements TicketDecision<R> {}

    /**
     * The same request has begun before; it gets that one's result.
     *
     * @param run the run that has begun
     * @param <R> the result of a run
     * @since 0.1.0
     */
    record Join<R>(R run) implements TicketDecision<R> {}

    /**
     * The ticket was used for a different request.
     *
     * @param <R> the result of a run
     * @since 0.1.0
     */
    record Reused<R>() implements TicketDecision<R> {}

    /**
     * The ticket is too old to be remembered: its request may have run.
     *
     * @param <R> the result of a run
     * @since 0.1.0
     */
    record Forgotten<R>() implements TicketDecision<R> {}

    /**
     * No such ticket was given to this workspace: its request did not run.
     *
     * @param <R> the result of a run
     * @since 0.1.0
     */
    record NeverIssued<R>() implements TicketDecision<R> {}
}
