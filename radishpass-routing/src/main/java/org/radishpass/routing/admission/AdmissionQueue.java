package org.radishpass.routing.admission;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of all urgencies. The most urgent start first, except that each urgency is guaranteed a fraction
 * of the starts.
 *
 * @param <T> the type of the requests
 */
final class AdmissionQueue<T> {
    /**
     * The guaranteed starts of an urgency relative to its share of the arrivals. Callers are promised that no kind of
     * request starves: each is served at least a quarter as often as all requests.
     */
    private static final double RESERVED_FRACTION = 0.25;

    private static final double TIME_CONSTANT_MILLIS = 1_000;

    private final List<UrgencyLevel<T>> levels = new ArrayList<>();
    private final List<DecayedRate> arrivals = new ArrayList<>();
    private final double[] credits = new double[AdmissionRequest.URGENCIES];
    private int size;

    AdmissionQueue() {
        for (int urgency = 0; urgency < AdmissionRequest.URGENCIES; urgency++) {
            levels.add(new UrgencyLevel<>());
            arrivals.add(new DecayedRate(TIME_CONSTANT_MILLIS));
        }
    }

    int size() {
        return size;
    }

    UrgencyLevel<T> level(int urgency) {
        return levels.get(urgency);
    }

    /**
     * Returns the urgency of the most urgent requests that wait, if one of them can still meet its latency target;
     * {@link AdmissionRequest#URGENCIES} otherwise.
     */
    int punctualUrgency(long nowMillis) {
        for (int urgency = 0; urgency < AdmissionRequest.URGENCIES; urgency++) {
            if (level(urgency).size() > 0) {
                return level(urgency).nextPunctual(nowMillis) ? urgency : AdmissionRequest.URGENCIES;
            }
        }
        return AdmissionRequest.URGENCIES;
    }

    void add(Waiting<T> waiting, long nowMillis) {
        level(waiting.request().urgency()).add(waiting, nowMillis);
        size++;
    }

    void recordArrival(int urgency, long nowMillis) {
        arrivals.get(urgency).record(nowMillis);
    }

    /** Removes the request that starts next, or returns null if none waits. */
    @Nullable
    Waiting<T> poll(long nowMillis) {
        UrgencyLevel<T> next = null;
        double most = 1;
        for (int urgency = 0; urgency < AdmissionRequest.URGENCIES; urgency++) {
            boolean waiting = level(urgency).size() > 0;
            if (waiting && (next == null || credits[urgency] >= most)) {
                next = level(urgency);
                most = Math.max(most, credits[urgency]);
            }
        }
        Waiting<T> polled = next == null ? null : next.poll(nowMillis);
        size -= polled == null ? 0 : 1;
        return polled;
    }

    /**
     * Records a start, which counts toward the guaranteed starts of each urgency. An urgency earns credit also while
     * none of its requests wait. Otherwise one with few arrivals, which are refused because of the wait for its next
     * guaranteed start, would never be served.
     */
    void started(int urgency, long nowMillis) {
        for (int waiting = 0; waiting < AdmissionRequest.URGENCIES; waiting++) {
            credits[waiting] = Math.min(1, credits[waiting] + reservedFraction(waiting, nowMillis));
        }
        credits[urgency] = Math.max(0, credits[urgency] - 1);
    }

    /** Returns the guaranteed starts that an urgency has not used yet, at most 1. */
    double credit(int urgency) {
        return credits[urgency];
    }

    /** Returns the fraction of the starts that is guaranteed to an urgency. */
    double reservedFraction(int urgency, long nowMillis) {
        double all = arrivalsAbove(AdmissionRequest.URGENCIES, nowMillis);
        return all == 0 ? 0 : RESERVED_FRACTION * arrivalsPerSecond(urgency, nowMillis) / all;
    }

    double arrivalsPerSecond(int urgency, long nowMillis) {
        return arrivals.get(urgency).perSecond(nowMillis);
    }

    /** Returns the arrivals per second of the requests that are more urgent. */
    double arrivalsAbove(int urgency, long nowMillis) {
        double sum = 0;
        for (int above = 0; above < urgency; above++) {
            sum += arrivalsPerSecond(above, nowMillis);
        }
        return sum;
    }

    /** Returns the number of waiting requests that are more urgent. */
    int queuedAbove(int urgency) {
        int sum = 0;
        for (int above = 0; above < urgency; above++) {
            sum += level(above).size();
        }
        return sum;
    }

    /** Removes requests of one urgency. */
    void removeIf(int urgency, UrgencyLevel.RemovalTest<T> test, long nowMillis) {
        UrgencyLevel<T> level = level(urgency);
        int before = level.size();
        if (before > 0) {
            level.removeIf(test, arrivalsPerSecond(urgency, nowMillis), nowMillis);
            size -= before - level.size();
        }
    }
}
