package org.radishpass.routing.traffic;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.health.AnswerPatience;
import org.radishpass.routing.placement.PlacementChoice;

/** Whether one request waits while all endpoints that could run it are in backoff, and until when. */
final class BackoffWait implements BackoffQueue.Waiting {
    private final TrafficTools tools;
    private final Terms terms;
    private final SendHistory history;
    private final Owner owner;
    private final long startByMillis;

    /**
     * Finds out until when a request may wait.
     *
     * @param tools the traffic thread's tools
     * @param terms its terms
     * @param history where it was sent
     * @param receivedAtMillis when it came in, on the monotonic clock in milliseconds
     * @param owner goes on with the request
     */
    BackoffWait(TrafficTools tools, Terms terms, SendHistory history, long receivedAtMillis, Owner owner) {
        this.tools = tools;
        this.terms = terms;
        this.history = history;
        this.owner = owner;
        long targetMillis = terms.route().targetLatencyMillis();
        long usualMillis = tools.patience().usualMillis(terms.route().name());
        long answerMillis = usualMillis == AnswerPatience.UNKNOWN ? targetMillis / 2 : usualMillis;
        this.startByMillis = Math.min(receivedAtMillis + targetMillis - answerMillis, terms.deadlineMillis());
    }

    /** Tells whether a choice would overtake a request that is as urgent, or more so, and waits for the same endpoints. */
    boolean overtakes(PlacementChoice choice) {
        return tools.signals().backoffs().recovering(choice.endpoint().id()) && othersWait();
    }

    /** Tells whether it has no endpoint only because of backoffs. */
    boolean inBackoff() {
        return soonestEnd().isPresent() || othersWait();
    }

    /** Returns when the first endpoint that could run it takes requests again, on the monotonic clock in milliseconds. */
    long endMillis() {
        return Math.max(tools.nowMillis(), soonestEnd().orElse(Long.MIN_VALUE));
    }

    /**
     * Lets the request wait if it can still be answered in time then.
     *
     * @return whether it waits
     */
    boolean begin() {
        return endMillis() <= startByMillis && tools.backoffQueue().add(this);
    }

    /** Ends the wait, if there is one. */
    void cancel() {
        tools.backoffQueue().remove(this);
    }

    private boolean othersWait() {
        return tools.backoffQueue().holdsBefore(terms.service(), terms.urgency());
    }

    private OptionalLong soonestEnd() {
        return tools.placer().soonestBackoffEnd(terms, history.triedEndpoints());
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
    public long startByMillis() {
        return startByMillis;
    }

    @Override
    public boolean start() {
        @Nullable PlacementChoice choice = place().orElse(null);
        if (choice == null || terms.full(choice)) {
            return false;
        }
        tools.backoffQueue().remove(this);
        owner.place(choice);
        return true;
    }

    @Override
    public void giveUp() {
        owner.refuseInBackoff(endMillis());
    }

    private Optional<PlacementChoice> place() {
        List<String> tried = history.triedEndpoints();
        return tools.placer().place(terms, tried, history.sends() > 0);
    }

    /** Goes on with a request that has waited. */
    interface Owner {
        /** An endpoint takes it. */
        void place(PlacementChoice choice);

        /**
         * It can't be answered in time any more.
         *
         * @param endMillis when the first endpoint takes requests again, on the monotonic clock in milliseconds
         */
        void refuseInBackoff(long endMillis);
    }
}
