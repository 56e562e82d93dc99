package org.radishpass.routing.traffic;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.placement.PlacementChoice;

/** Decides whether one request waits while every endpoint that could run it is in backoff, and for how long. */
final class BackoffWait implements BackoffQueue.WaitingRequest {
    private final TrafficContext context;
    private final RequestTerms terms;
    private final SendHistory history;
    private final Owner owner;
    private final long latestSendMillis;

    /**
     * Computes the latest time at which the request can be sent and still be answered in time.
     *
     * @param context the shared state of the traffic event loop
     * @param terms the terms of the request
     * @param history the previous sends of the request
     * @param owner continues the request after the wait
     */
    BackoffWait(TrafficContext context, RequestTerms terms, SendHistory history, Owner owner) {
        this.context = context;
        this.terms = terms;
        this.history = history;
        this.owner = owner;
        long usualMillis = SendDeadlines.usualMillis(context.responseTimes(), terms.route());
        this.latestSendMillis = SendDeadlines.latestSend(terms.deadlineMillis(), usualMillis);
    }

    /**
     * Tells whether sending the request to the chosen endpoint would overtake a waiting request that is at least as
     * urgent.
     */
    boolean overtakes(PlacementChoice choice) {
        return context.signals().backoffs().recovering(choice.endpoint().id()) && equallyUrgentRequestWaits();
    }

    /** Tells whether backoff is the only reason why no endpoint is available for the request. */
    boolean backoffOnly() {
        return earliestBackoffEnd().isPresent() || equallyUrgentRequestWaits();
    }

    /**
     * Returns when the first endpoint that could run the request leaves backoff, on the monotonic clock in
     * milliseconds.
     */
    long earliestEndMillis() {
        return Math.max(context.nowMillis(), earliestBackoffEnd().orElse(Long.MIN_VALUE));
    }

    /**
     * Adds the request to the backoff queue if it can still be answered in time after the wait.
     *
     * @return whether the request waits
     */
    boolean enqueue() {
        return earliestEndMillis() <= latestSendMillis && context.backoffQueue().add(this);
    }

    /** Removes the request from the backoff queue if it waits there. */
    void cancel() {
        context.backoffQueue().remove(this);
    }

    private boolean equallyUrgentRequestWaits() {
        return context.backoffQueue().hasWaitingAtLeastAsUrgent(terms.service(), terms.urgency());
    }

    private OptionalLong earliestBackoffEnd() {
        return context.placer().earliestBackoffEnd(terms, history.triedEndpoints());
    }

    @Override
    public String service() {
        return terms.service();
    }

    @Override
    public int urgency() {
        return terms.urgency();
    }

    @Override
    public long latestSendMillis() {
        return latestSendMillis;
    }

    @Override
    public boolean trySend() {
        @Nullable PlacementChoice choice = place().orElse(null);
        if (choice == null || terms.atQueueLimit(choice)) {
            return refuseIfEndsTooLate();
        }
        context.backoffQueue().remove(this);
        owner.endpointAvailable(choice);
        return true;
    }

    /** Refuses the request at once if the backoff was extended beyond the time of its caller. */
    private boolean refuseIfEndsTooLate() {
        boolean tooLate = earliestEndMillis() > latestSendMillis;
        if (tooLate) {
            context.backoffQueue().remove(this);
            expire();
        }
        return tooLate;
    }

    @Override
    public void expire() {
        owner.refuseInBackoff(earliestEndMillis());
    }

    private Optional<PlacementChoice> place() {
        List<String> tried = history.triedEndpoints();
        return context.placer().place(terms, tried, history.sends() > 0);
    }

    /** Continues a request that has waited. */
    interface Owner {
        /** Called when an endpoint accepts the request. */
        void endpointAvailable(PlacementChoice choice);

        /**
         * Called when the request can no longer be answered in time.
         *
         * @param endMillis when the first endpoint leaves backoff, on the monotonic clock in milliseconds
         */
        void refuseInBackoff(long endMillis);
    }
}
