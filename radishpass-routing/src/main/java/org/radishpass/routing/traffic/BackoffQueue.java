package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Requests that wait because every endpoint that could run them is in backoff, and the first backoff is expected to
 * end early enough for a response in time. The most urgent request is tried first, and among equally urgent requests
 * the one that has waited longest. Not thread-safe; confined to the traffic event loop.
 */
final class BackoffQueue {
    /**
     * Maximum number of waiting requests. A longer queue means that the service is overloaded for longer than a request
     * can wait.
     */
    static final int MAX_WAITING = 1_000;

    /**
     * Maximum number of requests that one check tries to send. The requests behind them would find the same endpoints
     * in backoff.
     */
    private static final int MAX_TRIED_PER_CHECK = 32;

    private static final Comparator<WaitingRequest> MOST_URGENT_FIRST =
            Comparator.comparingInt(WaitingRequest::urgency);

    private final LongSupplier clock;
    private final Consumer<Runnable> scheduler;
    private final List<WaitingRequest> waiting = new ArrayList<>();
    private boolean checkScheduled;

    /**
     * Creates an empty queue.
     *
     * @param clock the monotonic clock, in milliseconds
     * @param scheduler runs a task on the event loop after a short delay
     */
    BackoffQueue(LongSupplier clock, Consumer<Runnable> scheduler) {
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /**
     * Adds a request to the queue.
     *
     * @return false if the queue is full
     */
    boolean add(WaitingRequest request) {
        if (waiting.size() >= MAX_WAITING) {
            return false;
        }
        waiting.add(request);
        scheduleCheck();
        return true;
    }

    /** Removes a request from the queue. */
    void remove(WaitingRequest request) {
        waiting.remove(request);
    }

    /**
     * Tells whether a request to the service is waiting that is at least as urgent as the given urgency, and so must
     * not be overtaken.
     */
    boolean hasWaitingAtLeastAsUrgent(String service, int urgency) {
        return waiting.stream().anyMatch(request -> request.service().equals(service) && request.urgency() <= urgency);
    }

    /** Returns the number of waiting requests. */
    int size() {
        return waiting.size();
    }

    private void check() {
        checkScheduled = false;
        long nowMillis = clock.getAsLong();
        List<WaitingRequest> byUrgency = new ArrayList<>(waiting);
        byUrgency.sort(MOST_URGENT_FIRST);
        int tried = 0;
        for (WaitingRequest request : byUrgency) {
            if (request.latestSendMillis() < nowMillis) {
                waiting.remove(request);
                request.expire();
            } else if (tried++ < MAX_TRIED_PER_CHECK && request.trySend()) {
                waiting.remove(request);
            }
        }
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (!checkScheduled && !waiting.isEmpty()) {
            checkScheduled = true;
            scheduler.accept(this::check);
        }
    }

    /** A waiting request. */
    interface WaitingRequest {
        /** Returns the service that the request is for. */
        String service();

        /** Returns the urgency; 0 is the most urgent. */
        int urgency();

        /**
         * Returns the latest time at which the request can be sent and still be answered in time, on the monotonic
         * clock in milliseconds.
         */
        long latestSendMillis();

        /**
         * Sends the request if an endpoint accepts it now.
         *
         * @return whether the request no longer waits
         */
        boolean trySend();

        /** Refuses the request, which no longer waits. */
        void expire();
    }
}
