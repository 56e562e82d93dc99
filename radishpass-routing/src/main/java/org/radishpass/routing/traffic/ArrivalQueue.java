package org.radishpass.routing.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

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
     * Requests that are begun in one pass of the thread over its connections: about 20 ms of work right after a start, a tenth
     * of that later, so that new requests and callers that left are seen in between.
     */
    static final int MOST_IN_PASS = 8;

    private final Consumer<Runnable> afterNextPass;
    private final Deque<Arrival> waiting = new ArrayDeque<>();
    private int begun;
    private boolean passDue;

    /**
     * Creates a queue.
     *
     * @param afterNextPass runs a task on the traffic thread once it has looked at its connections again
     */
    ArrivalQueue(Consumer<Runnable> afterNextPass) {
        this.afterNextPass = afterNextPass;
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
        while (begun < MOST_IN_PASS && !waiting.isEmpty()) {
            if (waiting.removeFirst().begin()) {
                begun++;
            }
        }
        if (begun > 0 && !passDue) {
            passDue = true;
            afterNextPass.accept(this::pass);
        }
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
