package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Decides which requests a router that stops still takes. Every path that accepts a request or places an attempt asks here.
 * Thread-safe.
 *
 * @since 0.12.0
 */
final class GracefulStop {
    private final Clock clock;
    private final LongSupplier nanoTime;
    private final Sinks.Empty<Void> ended = Sinks.empty();
    private volatile @Nullable StopDeadlines deadlines;
    private volatile boolean closing;

    /**
     * Creates the decisions of a router that does not stop.
     *
     * @param clock the clock of the requests' deadlines
     * @param nanoTime the monotonic clock of the stop's deadlines, in nanoseconds
     */
    GracefulStop(Clock clock, LongSupplier nanoTime) {
        this.clock = clock;
        this.nanoTime = nanoTime;
    }

    /** Begins the stop. */
    void begin(StopDeadlines newDeadlines) {
        deadlines = newDeadlines;
    }

    /** Tells whether the router stops, so that connections are closed after their next response. */
    boolean begun() {
        return deadlines != null;
    }

    /** Refuses all requests from now on. */
    void close() {
        closing = true;
    }

    /** Ends the attempts that are still in progress. */
    void end() {
        close();
        ended.tryEmitEmpty();
    }

    /** Completes when the attempts that are still in progress are to be ended. */
    Mono<Void> ended() {
        return ended.asMono();
    }

    /**
     * Tells whether a request may be taken, or sent once more. As long as the load balancer may not have noticed the stop,
     * callers are served whatever they ask for. Another request must have a deadline before the end of the router; its
     * response might be cut off otherwise, and another router can still take it.
     *
     * @param deadline the time when the caller stops waiting
     */
    boolean accepts(Instant deadline) {
        StopDeadlines current = deadlines;
        if (closing || current == null) {
            return !closing;
        }
        long nowNanos = nanoTime.getAsLong();
        long requestEndNanos =
                nowNanos + Duration.between(clock.instant(), deadline).toNanos();
        return nowNanos - current.drainedAtNanos() < 0 || requestEndNanos - current.endAtNanos() <= 0;
    }

    /**
     * Returns normally if a request may be taken, or sent once more.
     *
     * @param deadline the time when the caller stops waiting
     * @throws RefusedException if the request may outlast the router, which stops
     */
    void requireAccepted(Instant deadline) {
        if (!accepts(deadline)) {
            throw RefusedException.notRun(RefusalCode.NOT_READY, "this router is stopping");
        }
    }
}
