package org.radishpass.routing.load;

/**
 * The amount of work in flight at one endpoint.
 *
 * @param requests the number of requests
 * @param tokens the sum of the prompt tokens and of the maximum output tokens of these requests
 * @since 0.2.0
 */
public record InFlight(int requests, long tokens) {
    /** No work in flight. */
    public static final InFlight NONE = new InFlight(0, 0);

    /**
     * Returns the sum of this amount and another.
     *
     * @param other the amount to add
     */
    public InFlight plus(InFlight other) {
        return new InFlight(requests + other.requests, tokens + other.tokens);
    }

    /**
     * Returns the difference of this amount and another.
     *
     * @param other the amount to subtract
     */
    public InFlight minus(InFlight other) {
        return new InFlight(requests - other.requests, tokens - other.tokens);
    }
}
