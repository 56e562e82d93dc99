package org.radishpass.routing.load;

/**
 * Work in flight at one endpoint.
 *
 * @param requests the requests
 * @param tokens the prompt tokens of these requests, and the most tokens that they may generate
 * @since 0.2.0
 */
public record InFlight(int requests, long tokens) {
    /** No work. */
    public static final InFlight NONE = new InFlight(0, 0);

    /**
     * Returns both amounts together.
     *
     * @param other the other amount
     */
    public InFlight plus(InFlight other) {
        return new InFlight(requests + other.requests, tokens + other.tokens);
    }

    /**
     * Returns this amount without another.
     *
     * @param other the other amount
     */
    public InFlight minus(InFlight other) {
        return new InFlight(requests - other.requests, tokens - other.tokens);
    }
}
