package org.radishpass.routing.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests start next, which wait and which are refused, while more requests arrive than the router can
 * start. It is not consulted while nothing waits. Times are in milliseconds on the monotonic clock. Not thread-safe.
 *
 * @param <T> the type of the requests
 * @since 0.8.0
 */
public final class AdmissionController<T> {
    /**
     * The time in milliseconds between checks of all waiting requests; also the time from the first iteration of a
     * backlog for which starts are measured before a request is refused because of an expected wait.
     */
    static final long CHECK_INTERVAL_MILLIS = 50;

    /** The fraction of the starts that returning callers are assumed to get if the arrivals exceed the starts. */
    private static final double MIN_RETURN_FRACTION = 0.1;

    /** The maximum expected wait in milliseconds; an infinite one would overflow when added to a time. */
    private static final double MAX_WAIT_MILLIS = 1e9;

    /**
     * The longest time in milliseconds for which an inflow is expected to last: twice the time constant of its
     * measurement. With the whole length of a backlog of a minute, one instant in which the inflow exceeds the starts
     * would refuse all less urgent requests.
     */
    private static final long MAX_INFLOW_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final AdmissionQueue<T> queue = new AdmissionQueue<>();
    private final StartRate startRate = new StartRate();
    private final ReturnSchedule returns = new ReturnSchedule();
    private final AdmissionStatistics statistics = new AdmissionStatistics();
    private long lastSequence;
    private long backlogSinceMillis;
    private long measuredSinceMillis = Long.MAX_VALUE;
    private long checkedAtMillis;

    /** Tells whether no request waits. */
    public boolean isEmpty() {
        return queue.size() == 0;
    }

    /**
     * Returns the urgency of the most urgent requests that wait, if one of them can still meet its latency target;
     * {@link AdmissionRequest#URGENCIES} otherwise.
     */
    public int punctualUrgency(long nowMillis) {
        return queue.punctualUrgency(nowMillis);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return queue.size();
    }

    /** Returns the counts of decisions. */
    public AdmissionStatistics statistics() {
        return statistics;
    }

    /** Returns the measured number of starts per second while requests wait. */
    public double startsPerSecond() {
        return startRate.perSecond();
    }

    /** Returns the number of refused callers that are expected to return. */
    public int promisedReturns(long nowMillis) {
        return returns.pending(nowMillis);
    }

    /**
     * Adds a request that cannot start at once, or refuses it.
     *
     * @param item the item that the request stands for
     * @param request the properties of the request
     * @param nowMillis the time
     * @return the refusal; empty if the request waits
     */
    public Optional<AdmissionRefusal> offer(T item, AdmissionRequest request, long nowMillis) {
        if (isEmpty()) {
            backlogSinceMillis = nowMillis;
            checkedAtMillis = nowMillis;
            measuredSinceMillis = Long.MAX_VALUE;
            startRate.backlogBegins();
        }
        queue.recordArrival(request.urgency(), nowMillis);
        UrgencyLevel<T> level = queue.level(request.urgency());
        int position = Math.min(level.size() + 1, level.competingWorkspaces(request.workspace()));
        double waitMillis = estimate(request.urgency(), nowMillis).waitMillis(position, 0);
        Optional<AdmissionRefusal> refusal = check(request, waitMillis, nowMillis);
        if (refusal.isEmpty()) {
            queue.add(new Waiting<>(item, request, ++lastSequence), nowMillis);
        }
        return refusal;
    }

    /** Removes the request that starts next, or returns null if none waits. */
    public @Nullable Waiting<T> poll(long nowMillis) {
        return queue.poll(nowMillis);
    }

    /**
     * Checks a request that is about to start.
     *
     * @return the refusal; empty if the request can still be served in time
     */
    public Optional<AdmissionRefusal> checkStart(AdmissionRequest request, long nowMillis) {
        return request.latestStartMillis() < nowMillis ? Optional.of(refuse(request, 0, nowMillis)) : Optional.empty();
    }

    /** Records that a request has started that had waited. */
    public void started(AdmissionRequest request, long nowMillis) {
        queue.started(request.urgency(), nowMillis);
    }

    /**
     * Records an iteration of the event loop after which requests still waited.
     *
     * @param started the number of requests that were started
     * @param elapsedMillis the time until the next iteration, in milliseconds
     * @param nowMillis the time of the next iteration
     */
    public void recordIteration(int started, long elapsedMillis, long nowMillis) {
        measuredSinceMillis = Math.min(measuredSinceMillis, nowMillis);
        startRate.record(started, elapsedMillis);
    }

    /**
     * Checks all waiting requests, if the last check is long enough ago.
     *
     * @param abandoned tells whether the caller of a request has disconnected; such requests are dropped
     * @param nowMillis the time
     * @return the requests that have been removed because they are refused
     */
    public List<Refused<T>> checkWaiting(Predicate<T> abandoned, long nowMillis) {
        if (isEmpty() || nowMillis - checkedAtMillis < CHECK_INTERVAL_MILLIS) {
            return List.of();
        }
        checkedAtMillis = nowMillis;
        List<Refused<T>> refused = new ArrayList<>();
        for (int urgency = 0; urgency < AdmissionRequest.URGENCIES; urgency++) {
            WaitEstimate estimate = estimate(urgency, nowMillis);
            UrgencyLevel.RemovalTest<T> test = (waiting, position, inflow) -> {
                if (abandoned.test(waiting.item())) {
                    return true;
                }
                double waitMillis = estimate.waitMillis(position, inflow);
                Optional<AdmissionRefusal> refusal = check(waiting.request(), waitMillis, nowMillis);
                refusal.ifPresent(decided -> refused.add(new Refused<>(waiting.item(), decided)));
                return refusal.isPresent();
            };
            queue.removeIf(urgency, test, nowMillis);
        }
        return refused;
    }

    /** The inflow is expected to last as long again as the backlog has lasted, up to a limit. */
    private WaitEstimate estimate(int urgency, long nowMillis) {
        double rate = startRate.perSecond();
        return new WaitEstimate(
                rate,
                queue.queuedAbove(urgency),
                queue.arrivalsAbove(urgency, nowMillis),
                rate * queue.reservedFraction(urgency, nowMillis),
                queue.credit(urgency),
                Math.min(nowMillis - backlogSinceMillis, MAX_INFLOW_MILLIS) / MILLIS_PER_SECOND);
    }

    private Optional<AdmissionRefusal> check(AdmissionRequest request, double expectedWaitMillis, long nowMillis) {
        boolean measured = measuredSinceMillis <= nowMillis - CHECK_INTERVAL_MILLIS;
        double waitMillis = measured ? Math.min(expectedWaitMillis, MAX_WAIT_MILLIS) : 0;
        double startMillis = nowMillis + waitMillis;
        return request.latestWaitMillis() < startMillis
                ? Optional.of(refuse(request, waitMillis, nowMillis))
                : Optional.empty();
    }

    private AdmissionRefusal refuse(AdmissionRequest request, double waitMillis, long nowMillis) {
        statistics.refused();
        return new AdmissionRefusal(
                nowMillis,
                Math.round(waitMillis),
                startRate.perSecond(),
                queue.size(),
                request.urgency(),
                request.deadlineMillis(),
                returnAtMillis(request, nowMillis));
    }

    private long returnAtMillis(AdmissionRequest request, long nowMillis) {
        long leftMillis = Math.max(0, request.deadlineMillis() - nowMillis);
        long longestMillis = leftMillis / AdmissionRefusal.MAX_RETURN_DIVISOR;
        int urgency = request.urgency();
        double rate = startRate.perSecond();
        double drainedMillis =
                estimate(urgency, nowMillis).waitMillis(queue.level(urgency).size(), 0);
        double available = Math.max(rate * MIN_RETURN_FRACTION, rate - queue.arrivalsAbove(urgency + 1, nowMillis));
        long earliestMillis = nowMillis + Math.round(Math.min(drainedMillis, (double) longestMillis));
        return returns.reserve(urgency, earliestMillis, nowMillis + longestMillis, available, nowMillis);
    }

    /**
     * A request that was waiting and is refused.
     *
     * @param <T> the type of the item
     * @param item the item that the request stands for
     * @param refusal the refusal
     * @since 0.8.0
     */
    public record Refused<T>(T item, AdmissionRefusal refusal) {}
}
