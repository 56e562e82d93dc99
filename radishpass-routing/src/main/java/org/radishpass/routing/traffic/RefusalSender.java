package org.radishpass.routing.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.radishpass.routing.admission.AdmissionController;
import org.radishpass.routing.admission.AdmissionRequest;
import org.radishpass.routing.admission.RefusalBudget;

/**
 * Sends decided refusals between the starts of other requests, in the order in which they were decided. A refusal
 * waits only for the work in front of it, so that its caller has as much time as possible to be served elsewhere.
 * Confined to the traffic event loop.
 */
final class RefusalSender {
    /** The time in milliseconds after a refusal in which the overload may not have ended. */
    private static final long RECENT_MILLIS = 500;

    private final LongSupplier clock;
    private final Deque<AdmissionController.Refused<ArrivalQueue.Arrival>> queue = new ArrayDeque<>();
    private final RefusalBudget budget = new RefusalBudget();
    private long lastRefusalMillis = -RECENT_MILLIS;

    /**
     * Creates a sender without refusals.
     *
     * @param clock the monotonic clock, in milliseconds
     */
    RefusalSender(LongSupplier clock) {
        this.clock = clock;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Tells whether a refusal was sent a short time ago, so that callers may just be returning. */
    boolean sentRecently() {
        return clock.getAsLong() - lastRefusalMillis < RECENT_MILLIS;
    }

    void add(AdmissionController.Refused<ArrivalQueue.Arrival> refused) {
        queue.addLast(refused);
    }

    /** Records that a backlog has begun. */
    void backlogBegan(int waiting) {
        budget.backlogBegan(waiting);
    }

    /**
     * Sends refusals while other requests wait: at least one, and as many as the budget allows.
     *
     * @param started the number of requests that were started in this iteration
     * @param startsMillis the time that the starts took, in milliseconds
     * @param punctualUrgency the urgency of the request that starts next if it can still meet its latency target;
     *     {@link AdmissionRequest#URGENCIES} otherwise
     */
    void sendBetweenStarts(int started, long startsMillis, int punctualUrgency) {
        budget.recordStarts(started, startsMillis);
        boolean allowed = true;
        while (allowed && !queue.isEmpty()) {
            long startMillis = clock.getAsLong();
            boolean delaysUrgent = delaysUrgent(punctualUrgency);
            if (sendNext(startMillis)) {
                budget.recordRefusal(delaysUrgent, clock.getAsLong() - startMillis);
            }
            allowed = budget.allows(delaysUrgent(punctualUrgency));
        }
    }

    private boolean delaysUrgent(int punctualUrgency) {
        return !queue.isEmpty() && queue.getFirst().refusal().urgency() > punctualUrgency;
    }

    /** Sends refusals while no other request waits. */
    void sendWithoutStarts() {
        long startMillis = clock.getAsLong();
        long nowMillis = startMillis;
        while (!queue.isEmpty() && nowMillis - startMillis < ArrivalQueue.MAX_MILLIS_PER_ITERATION) {
            sendNext(nowMillis);
            nowMillis = clock.getAsLong();
        }
    }

    /** Sends the refusal that was decided first, unless its caller has disconnected; returns whether it was sent. */
    private boolean sendNext(long nowMillis) {
        AdmissionController.Refused<ArrivalQueue.Arrival> next = queue.pollFirst();
        if (next == null || next.item().abandoned()) {
            return false;
        }
        next.item().refuse(next.refusal());
        lastRefusalMillis = nowMillis;
        return true;
    }
}
