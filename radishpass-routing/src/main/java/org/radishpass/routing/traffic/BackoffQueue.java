package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Requests that wait because all endpoints that could run them are in backoff, and one of them is expected to take them in time. The most
 * urgent is tried first; among equals the one that has waited longest. A plain object; belongs to the traffic thread.
 */
final class BackoffQueue {
    /** Requests that wait at most; beyond that the service is overloaded for longer than a request can wait. */
    static final int MOST_WAITING = 1_000;

    /** Requests that one look tries to place: those behind them would find the same endpoints in backoff. */
    private static final int MOST_TRIED = 32;

    private static final Comparator<Waiting> MOST_URGENT_FIRST = Comparator.comparingInt(Waiting::urgency);

    private final LongSupplier clock;
    private final Consumer<Runnable> later;
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean lookDue;

    /**
     * Creates an empty queue.
     *
     * @param clock the monotonic clock, in milliseconds
     * @param later runs a task on the traffic thread after a moment
     */
    BackoffQueue(LongSupplier clock, Consumer<Runnable> later) {
        this.clock = clock;
        this.later = later;
    }

    /**
     * Lets a request wait.
     *
     * @return whether there is room
     */
    boolean add(Waiting request) {
        if (waiting.size() >= MOST_WAITING) {
            return false;
        }
        waiting.add(request);
        lookLater();
        return true;
    }

    /** Ceases to try a request. */
    void remove(Waiting request) {
        waiting.remove(request);
    }

    /** Tells whether a request of the service waits that must not be overtaken by one of the given urgency. */
    boolean holdsBefore(String service, int urgency) {
        return waiting.stream().anyMatch(request -> request.service().equals(service) && request.urgency() <= urgency);
    }

    /** Returns how many requests wait. */
    int size() {
        return waiting.size();
    }

    private void look() {
        lookDue = false;
        long nowMillis = clock.getAsLong();
        List<Waiting> inOrder = new ArrayList<>(waiting);
        inOrder.sort(MOST_URGENT_FIRST);
        int tried = 0;
        for (Waiting request : inOrder) {
            if (request.startByMillis() < nowMillis) {
                waiting.remove(request);
                request.giveUp();
            } else if (tried++ < MOST_TRIED && request.start()) {
                waiting.remove(request);
            }
        }
        lookLater();
    }

    private void lookLater() {
        if (!lookDue && !waiting.isEmpty()) {
            lookDue = true;
            later.accept(this::look);
        }
    }

    /** A request that waits. */
    interface Waiting {
        /** Returns the service that is to answer it. */
        String service();

        /** Returns its rank; 0 is the most urgent. */
        int urgency();

        /** Returns until when it has to be sent to be answered in time, on the monotonic clock in milliseconds. */
        long startByMillis();

        /**
         * Sends it if an endpoint takes it now.
         *
         * @return whether it does not wait any more
         */
        boolean start();

        /** Refuses it; it does not wait any more. */
        void giveUp();
    }
}
