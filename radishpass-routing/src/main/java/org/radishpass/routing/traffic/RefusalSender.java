package org.radishpass.routing.traffic;

import java.util.function.LongSupplier;
import org.radishpass.routing.admission.AdmissionController;
import org.radishpass.routing.admission.AdmissionRefusal;
import org.radishpass.routing.admission.RefusalQueue;

/**
 * Sends decided refusals between the starts of other requests. While requests wait, refusals take a fixed fraction of
 * the time of starts, and more than that only as far as callers would otherwise not be answered in time. Confined to
 * the traffic event loop.
 */
final class RefusalSender {
    /** The time for refusals relative to that of starts, while requests wait and no refusal is at risk to be late. */
    private static final double REFUSAL_TIME_FRACTION = 0.2;

    /** The maximum share of all time that is spent on refusals while requests wait: as much as on everything else. */
    private static final double MAX_SHARE = 0.5;

    /** The least time in milliseconds for refusals in an iteration, so that fast ones do not wait one iteration each. */
    private static final double MIN_REFUSAL_MILLIS = 1;

    /** The assumed time in milliseconds that a refusal takes in a process that has just started. */
    private static final double COLD_REFUSAL_MILLIS = 5;

    /** The factor by which the weight of earlier measurements falls with each iteration that sends refusals. */
    private static final double MEASUREMENT_DECAY = 0.9;

    /** The maximum time in milliseconds that is counted between two iterations, as after a suspension. */
    private static final long MAX_ELAPSED_MILLIS = 250;

    /**
     * The maximum time in milliseconds that was spent beyond the fixed fraction and that refusals of early returns
     * make up for.
     */
    private static final double MAX_DEBT_MILLIS = 1_000;

    /** The time in milliseconds after a refusal in which the overload may not have ended. */
    private static final long RECENT_MILLIS = 500;

    private final LongSupplier clock;
    private final RefusalQueue<ArrivalQueue.Arrival> queue = new RefusalQueue<>();
    private double owedBudgetMillis;
    private double earlyBudgetMillis;
    private double measuredMillis = COLD_REFUSAL_MILLIS;
    private double measuredRefusals = 1;
    private long lastSendMillis;
    private long lastRefusalMillis = -RECENT_MILLIS;

    /**
     * Creates a sender without refusals.
     *
     * @param clock the monotonic clock, in milliseconds
     */
    RefusalSender(LongSupplier clock) {
        this.clock = clock;
        this.lastSendMillis = clock.getAsLong();
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Tells whether a refusal was sent a short time ago, so that callers may just be returning. */
    boolean sentRecently() {
        return clock.getAsLong() - lastRefusalMillis < RECENT_MILLIS;
    }

    void add(AdmissionController.Refused<ArrivalQueue.Arrival> refused) {
        if (queue.isEmpty()) {
            lastSendMillis = clock.getAsLong();
        }
        queue.add(refused);
    }

    /**
     * Sends refusals while other requests wait.
     *
     * @param startsMillis the time that the starts of this iteration took, in milliseconds
     */
    void sendBetweenStarts(long startsMillis) {
        long nowMillis = clock.getAsLong();
        double share = Math.min(MAX_SHARE, queue.requiredShare(measuredMillis / measuredRefusals, nowMillis));
        long elapsedMillis = Math.min(MAX_ELAPSED_MILLIS, nowMillis - lastSendMillis);
        double usualMillis = REFUSAL_TIME_FRACTION * startsMillis;
        owedBudgetMillis += Math.max(usualMillis, share / (1 - share) * elapsedMillis);
        earlyBudgetMillis += usualMillis;
        send(Math.max(MIN_REFUSAL_MILLIS, owedBudgetMillis));
    }

    /** Sends refusals while no other request waits. */
    void sendWithoutStarts() {
        owedBudgetMillis = ArrivalQueue.MAX_MILLIS_PER_ITERATION;
        earlyBudgetMillis = ArrivalQueue.MAX_MILLIS_PER_ITERATION;
        send(owedBudgetMillis);
    }

    private void send(double limitMillis) {
        long startMillis = clock.getAsLong();
        long nowMillis = startMillis;
        int sent = 0;
        while (nowMillis - startMillis < limitMillis && maySend(nowMillis)) {
            AdmissionController.Refused<ArrivalQueue.Arrival> next = queue.poll(nowMillis);
            if (next == null) {
                break;
            }
            if (!next.item().abandoned()) {
                refuse(next, nowMillis);
                sent++;
            }
            nowMillis = clock.getAsLong();
        }
        long spentMillis = nowMillis - startMillis;
        measure(sent, spentMillis);
        owedBudgetMillis = Math.min(ArrivalQueue.MAX_MILLIS_PER_ITERATION, owedBudgetMillis - spentMillis);
        earlyBudgetMillis = clampBudget(earlyBudgetMillis - spentMillis);
        lastSendMillis = nowMillis;
    }

    private void refuse(AdmissionController.Refused<ArrivalQueue.Arrival> refused, long nowMillis) {
        AdmissionRefusal refusal = refused.refusal().sentAt(nowMillis);
        refused.item().refuse(refusal);
        queue.sent(new AdmissionController.Refused<>(refused.item(), refusal, refused.returned()), nowMillis);
        lastRefusalMillis = nowMillis;
    }

    private boolean maySend(long nowMillis) {
        return queue.owes(nowMillis) || earlyBudgetMillis > 0;
    }

    private static double clampBudget(double millis) {
        return Math.max(-MAX_DEBT_MILLIS, Math.min(ArrivalQueue.MAX_MILLIS_PER_ITERATION, millis));
    }

    private void measure(int sent, long millis) {
        if (sent > 0) {
            measuredMillis = measuredMillis * MEASUREMENT_DECAY + millis;
            measuredRefusals = measuredRefusals * MEASUREMENT_DECAY + sent;
        }
    }
}
