package org.radishpass.routing.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Completely received requests that wait for the traffic event loop, last in first out.
 *
 * <p>While the event loop keeps up, a request starts as soon as it is complete. After a restart, or in a load peak,
 * more requests arrive than it can start at once. The newest can then still be answered within their latency target,
 * whereas the callers of the oldest have mostly timed out. Closed connections are detected between two iterations of
 * the event loop, and the requests of disconnected callers are never started. Confined to the traffic event loop.
 */
final class ArrivalQueue {
    /**
     * Maximum number of requests started in one iteration of the event loop. Starting them takes about 20 ms right
     * after a process start with one full core, and a tenth of that later. The bound lets the event loop detect new
     * requests and closed connections in between.
     */
    static final int MAX_STARTS_PER_ITERATION = 8;

    /**
     * Milliseconds after which no more requests are started in an iteration. Right after a process start, eight
     * requests take half a second on an eighth of a core. The same event loop reads about 50 KB of store responses in
     * each iteration, so without this bound a configuration of 700 KB took several seconds to load.
     */
    static final long MAX_MILLIS_PER_ITERATION = 20;

    private final Consumer<Runnable> afterNextIteration;
    private final LongSupplier clock;
    private final Deque<Arrival> waiting = new ArrayDeque<>();
    private long iterationStartMillis;
    private int startsInIteration;
    private boolean iterationScheduled;

    /**
     * Creates an empty queue.
     *
     * @param afterNextIteration runs a task on the event loop after its next poll of the connections
     * @param clock the monotonic clock, in milliseconds
     */
    ArrivalQueue(Consumer<Runnable> afterNextIteration, LongSupplier clock) {
        this.afterNextIteration = afterNextIteration;
        this.clock = clock;
    }

    /** Adds a complete request, and starts it now or in a later iteration. */
    void add(Arrival arrival) {
        waiting.addFirst(arrival);
        startWaiting();
    }

    /** Adds requests that have been held, the oldest first. */
    void addAll(List<Arrival> arrivals) {
        arrivals.forEach(waiting::addFirst);
        startWaiting();
    }

    private void nextIteration() {
        iterationScheduled = false;
        startsInIteration = 0;
        startWaiting();
    }

    private void startWaiting() {
        while (!waiting.isEmpty() && mayStart()) {
            if (waiting.removeFirst().start()) {
                startsInIteration++;
            }
        }
        if (startsInIteration > 0 && !iterationScheduled) {
            iterationScheduled = true;
            afterNextIteration.accept(this::nextIteration);
        }
    }

    private boolean mayStart() {
        if (startsInIteration == 0) {
            iterationStartMillis = clock.getAsLong();
            return true;
        }
        return startsInIteration < MAX_STARTS_PER_ITERATION
                && clock.getAsLong() - iterationStartMillis < MAX_MILLIS_PER_ITERATION;
    }

    /** A completely received request. */
    interface Arrival {
        /**
         * Starts the request.
         *
         * @return false if the caller has disconnected
         */
        boolean start();
    }
}
