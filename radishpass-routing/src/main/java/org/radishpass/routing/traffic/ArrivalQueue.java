package org.radishpass.routing.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Whole requests that wait for the traffic thread, the newest first.
 *
 * <p>While the thread keeps up, a request begins as soon as it is whole. After a restart, or in a surge beyond the processor,
 * more have come than it can begin at once: those that have just come can still be answered within their latency target, and
 * callers of the oldest have given up already. A caller that leaves is noticed between two passes; its request is then never
 * begun. Belongs to the traffic thread.
 */
final class ArrivalQueue {
    /**
     * Requests that are begun in one pass of the thread over its connections: about 20 ms of work right after a start on a whole core, a
     * tenth of that later, so that new requests and callers that left are seen in between.
     */
    static final int MOST_IN_PASS = 8;

    /**
     * Milliseconds of a pass after which no further request is begun in it. Right after a start on an eighth of a core eight requests take
     * half a second. The store's answers come over the same thread, some 50 KB a pass: a configuration of 700 KB took several seconds so.
     */
    static final long MOST_MILLIS_IN_PASS = 20;

    private final Consumer<Runnable> afterNextPass;
    private final LongSupplier clock;
    private final Deque<Arrival> waiting = new ArrayDeque<>();
    private long passBeganAtMillis;
    private int begun;
    private boolean passDue;

    /**
     * Creates a queue.
     *
     * @param afterNextPass runs a task on the traffic thread once it has looked at its connections again
     * @param clock the monotonic clock, in milliseconds
     */
    ArrivalQueue(Consumer<Runnable> afterNextPass, LongSupplier clock) {
        this.afterNextPass = afterNextPass;
        this.clock = clock;
    }

    /** Takes a request that is whole, and begins it now or later. */
    void add(Arrival arrival) {
        waiting.addFirst(arrival);
        beginSome();
    }

    /** Takes requests that have waited, the oldest first. */
    void addAll(List<Arrival> arrivals) {
        arrivals.forEach(waiting::addFirst);
        beginSome();
    }

    private void pass() {
        passDue = false;
        begun = 0;
        beginSome();
    }

    private void beginSome() {
        while (!waiting.isEmpty() && hasTurn()) {
            if (waiting.removeFirst().begin()) {
                begun++;
            }
        }
        if (begun > 0 && !passDue) {
            passDue = true;
            afterNextPass.accept(this::pass);
        }
    }

    private boolean hasTurn() {
        if (begun == 0) {
            passBeganAtMillis = clock.getAsLong();
            return true;
        }
        return begun < MOST_IN_PASS && clock.getAsLong() - passBeganAtMillis < MOST_MILLIS_IN_PASS;
    }

    /** A request that is whole. */
    interface Arrival {
        /**
         * Begins the request.
         *
         * @return false if its caller has left meanwhile
         */
        boolean begin();
    }
}
