package org.radishpass.routing.traffic;

import org.jspecify.annotations.Nullable;
import org.radishpass.routing.health.ResponseTimes;

/**
 * Decides which requests a router that stops still takes. Every path that accepts, sends, retries or relays a request asks
 * here. Confined to the traffic event loop.
 */
final class GracefulStop {
    /**
     * The multiple of the time after which a response counts as slow that is allowed to a request. One response in a hundred
     * is slow; the rest is room for those that wait behind others.
     */
    private static final long SLOW_RESPONSES = 4;

    private final MonotonicClock clock;
    private final ResponseTimes responseTimes;
    private @Nullable StopDeadlines deadlines;
    private Phase phase = Phase.RUNNING;
    private long earliestEndMillis = Long.MAX_VALUE;

    /**
     * Creates the decisions of a router that does not stop.
     *
     * @param clock the clock of the deadlines
     * @param responseTimes the usual times of responses
     */
    GracefulStop(MonotonicClock clock, ResponseTimes responseTimes) {
        this.clock = clock;
        this.responseTimes = responseTimes;
    }

    /** Begins the stop. A stop that has begun keeps its deadlines. */
    void begin(StopDeadlines newDeadlines) {
        if (deadlines == null) {
            deadlines = newDeadlines;
            phase = Phase.DRAINING;
        }
    }

    /** Tells whether the router stops, so that connections are closed after their next response. */
    boolean begun() {
        return phase != Phase.RUNNING;
    }

    /**
     * Tells whether a request may be taken, or sent once more. As long as the load balancer may not have noticed the stop,
     * callers are served whatever they ask for. Another request must be expected to end before the router does; its response
     * might be cut off otherwise, and another router can still take it.
     *
     * @param record the record of the request, with its terms
     */
    boolean accepts(ExchangeRecord record) {
        StopDeadlines current = deadlines;
        if (current == null || !phase.takesRequests()) {
            return phase.takesRequests();
        }
        long nowMillis = clock.millis();
        boolean sentByBalancer = record.relayedFor().isEmpty() && nowMillis < current.drainedAtMillis();
        return sentByBalancer || latestEndMillis(record.terms(), nowMillis) <= current.endAtMillis();
    }

    /**
     * Returns when a request that is sent now will have ended: at its deadline, or earlier if its responses are known to be
     * short. How long a stream goes on is not known from its beginning.
     */
    private long latestEndMillis(RequestTerms terms, long nowMillis) {
        long slowMillis = responseTimes.slowThresholdMillis(terms.route().name());
        if (terms.kind().streams() || slowMillis == ResponseTimes.UNKNOWN) {
            return terms.deadlineMillis();
        }
        return Math.min(terms.deadlineMillis(), nowMillis + SLOW_RESPONSES * slowMillis);
    }

    /**
     * Goes on to the phase that the deadlines require.
     *
     * @param active whether a request is in progress or a response is still being written
     * @return the phase that has begun
     */
    Phase advance(boolean active) {
        StopDeadlines current = deadlines;
        if (current == null) {
            return phase;
        }
        long nowMillis = clock.millis();
        boolean idle = !active && nowMillis >= current.idleEndAtMillis();
        if (phase == Phase.DRAINING && (idle || nowMillis >= current.closeAtMillis())) {
            phase = Phase.CLOSING;
            earliestEndMillis = Math.min(current.endAtMillis(), nowMillis + StopDeadlines.CLOSE_MILLIS);
        }
        boolean over = nowMillis >= current.endAtMillis() || (!active && nowMillis >= earliestEndMillis);
        if (phase == Phase.CLOSING && over) {
            phase = Phase.ENDED;
        }
        return phase;
    }

    /** Tells whether responses that are still being written are waited for after the end of their requests. */
    boolean awaitsFlush() {
        StopDeadlines current = deadlines;
        return current != null && clock.millis() < current.flushedAtMillis();
    }

    /** The phases of a router's life, in order. */
    enum Phase {
        /** The router takes all requests. */
        RUNNING(true),
        /** The router takes requests that it will be able to answer. */
        DRAINING(true),
        /** The router does not listen any more and refuses what still arrives. */
        CLOSING(false),
        /** The requests that are still in progress are ended. */
        ENDED(false);

        private final boolean takesRequests;

        Phase(boolean takesRequests) {
            this.takesRequests = takesRequests;
        }

        /** Tells whether any request is taken. */
        boolean takesRequests() {
            return takesRequests;
        }
    }
}
