package org.radishpass.routing.reachability;

import java.util.function.LongSupplier;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealthTracker;
import org.radishpass.routing.load.InFlightTracker;

/**
 * Decides whether a refused connection and broken responses show that the process of an endpoint has exited. A lost link of
 * this router looks the same, so an exit counts only if nothing contradicts it. Confined to the traffic thread.
 *
 * @since 0.9.0
 */
public final class ExitCorroboration {
    /**
     * The time after which the reports of other routers are considered, in milliseconds: they report changes of their work
     * in flight twice within it.
     */
    public static final long DELAY_MILLIS = 400;

    private final EndpointHealthTracker health;
    private final InFlightTracker inFlight;
    private final LongSupplier clock;

    /**
     * Creates a check without state of its own.
     *
     * @param health the health of the endpoints
     * @param inFlight the work in flight, as reported by other routers
     * @param clock the monotonic clock, in milliseconds
     */
    public ExitCorroboration(EndpointHealthTracker health, InFlightTracker inFlight, LongSupplier clock) {
        this.health = health;
        this.inFlight = inFlight;
        this.clock = clock;
    }

    /**
     * Returns what contradicts the exit of an endpoint, {@link #DELAY_MILLIS} after it was assumed.
     *
     * @param endpoint the endpoint
     */
    public Contradiction contradiction(ServiceEndpoint endpoint) {
        if (health.isolated(clock.getAsLong())) {
            return Contradiction.ISOLATED;
        }
        return inFlight.peersAt(endpoint.id()) > 0 ? Contradiction.REACHED_BY_PEERS : Contradiction.NONE;
    }

    /** What contradicts the exit of an endpoint. */
    public enum Contradiction {
        /** Nothing does. */
        NONE("nothing"),
        /** This router reaches no endpoint at all. */
        ISOLATED("this router reaches no endpoint at all"),
        /** Other routers still have requests in flight at the endpoint. */
        REACHED_BY_PEERS("other routers have requests in flight there");

        private final String text;

        Contradiction(String text) {
            this.text = text;
        }

        /** Returns the description for logs. */
        public String text() {
            return text;
        }
    }
}
