package org.radishpass.core.once;

/**
 * What a request that presents a ticket may do.
 *
 * @param <R> the type of a run, from which callers get its result
 * @since 0.1.0
 */
public sealed interface TicketDecision<R> {
    /**
     * The request may run now.
     *
     * @param <R> the type of a run, from which callers get its result
     * @since 0.1.0
     */
    record Begin<R>() implements TicketDecision<R> {}

    /**
     * The same request began before with this ticket. The new request gets the result of that run.
     *
     * @param run the run that began before
     * @param <R> the type of a run, from which callers get its result
     * @since 0.1.0
     */
    record Join<R>(R run) implements TicketDecision<R> {}

    /**
     * The ticket was used before for a different request.
     *
     * @param <R> the type of a run, from which callers get its result
     * @since 0.1.0
     */
    record Reused<R>() implements TicketDecision<R> {}

    /**
     * The ticket has expired and its entry was removed, so its request may have run.
     *
     * @param <R> the type of a run, from which callers get its result
     * @since 0.1.0
     */
    record Forgotten<R>() implements TicketDecision<R> {}

    /**
     * The router never issued this ticket to this workspace, so no request of this workspace with this ticket has
     * run.
     *
     * @param <R> the type of a run, from which callers get its result
     * @since 0.1.0
     */
    record NeverIssued<R>() implements TicketDecision<R> {}
}
