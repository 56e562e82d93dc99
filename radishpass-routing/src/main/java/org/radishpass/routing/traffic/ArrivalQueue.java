package org.radishpass.routing.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.radishpass.routing.admission.AdmissionController;
import org.radishpass.routing.admission.AdmissionRefusal;
import org.radishpass.routing.admission.AdmissionRequest;
import org.radishpass.routing.admission.Waiting;

/**
 * Completely received requests that wait for the traffic event loop.
 *
 * <p>While the event loop keeps up, a request starts as soon as it is complete. After a restart, or in a load peak,
 * more requests arrive than it can start at once. Then {@link AdmissionController} decides in which order they start,
 * and which of them are refused. Closed connections are detected between two iterations of the event loop, and the
 * requests of disconnected callers are never started. Confined to the traffic event loop.
 */
final class ArrivalQueue {
    /**
     * Maximum number of requests started in one iteration of the event loop. Starting them takes about 20 ms right
     * after a process start with one full core, and a tenth of that later. The bound lets the event loop detect new
     * requests and closed connections in between.
     */
    static final int MAX_STARTS_PER_ITERATION = 8;

    /**
     * Milliseconds after which no more requests are started in an iteration. Right after a process start, eight
     * requests take half a second on an eighth of a core. The same event loop reads about 50 KB of store responses in
     * each iteration, so without this bound a configuration of 700 KB took several seconds to load.
     */
    static final long MAX_MILLIS_PER_ITERATION = 20;

    /**
     * Milliseconds after which no more held requests are resolved in an iteration. Resolving hundreds at once would
     * delay the first start.
     */
    private static final long MAX_RESOLVE_MILLIS = 10;

    private static final double LOOP_DELAY_WEIGHT = 0.1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Consumer<Runnable> afterNextIteration;
    private final LongSupplier clock;
    private final AdmissionController<Arrival> admission;
    private final RefusalSender refusals;
    private final Deque<Arrival> unresolved = new ArrayDeque<>();
    private boolean admissionEnabled = true;
    private long iterationStartMillis;
    private long iterationScheduledMillis;
    private long measuredSinceMillis;
    private double loopDelayMillis;
    private int startsInIteration;
    private boolean iterationScheduled;
    private boolean backlogBegins;

    /**
     * Creates an empty queue.
     *
     * @param afterNextIteration runs a task on the event loop after its next poll of the connections
     * @param clock the monotonic clock, in milliseconds
     */
    ArrivalQueue(Consumer<Runnable> afterNextIteration, LongSupplier clock) {
        this.afterNextIteration = afterNextIteration;
        this.clock = clock;
        this.admission = new AdmissionController<>();
        this.refusals = new RefusalSender(clock);
    }

    /** Sets whether requests are ordered and refused by admission. Otherwise they start newest first. */
    void admissionEnabled(boolean enabled) {
        this.admissionEnabled = enabled;
    }

    AdmissionController<Arrival> admission() {
        return admission;
    }

    /** Returns the average time until the event loop runs its next iteration, in seconds. */
    double loopDelaySeconds() {
        return loopDelayMillis / MILLIS_PER_SECOND;
    }

    /** Adds a complete request, and starts it now or in a later iteration. */
    void add(Arrival arrival) {
        if (admission.isEmpty() && unresolved.isEmpty() && refusals.isEmpty() && mayStart()) {
            startNow(arrival);
        } else {
            enqueue(arrival);
        }
        startWaiting();
    }

    private void startNow(Arrival arrival) {
        Optional<AdmissionRequest> request = refusals.sentRecently() ? arrival.admissionRequest() : Optional.empty();
        Optional<AdmissionRefusal> refusal =
                request.flatMap(checked -> admission.checkStart(checked, clock.getAsLong()));
        if (refusal.isPresent()) {
            refuse(arrival, refusal.get());
        } else if (arrival.start()) {
            startsInIteration++;
        }
    }

    /** Adds requests that have been held, the oldest first. */
    void addAll(List<Arrival> arrivals) {
        unresolved.addAll(arrivals);
        resolveHeld();
        startWaiting();
    }

    /** Resolves all held requests at once, as before the event loop ends. Those that are denied are answered. */
    void resolveAll() {
        while (!unresolved.isEmpty()) {
            enqueue(unresolved.removeFirst());
        }
        startWaiting();
    }

    private void resolveHeld() {
        long startMillis = clock.getAsLong();
        while (!unresolved.isEmpty()
                && startsInIteration < MAX_STARTS_PER_ITERATION / 2 // denied requests leave starts for others
                && clock.getAsLong() - startMillis < MAX_RESOLVE_MILLIS) {
            enqueue(unresolved.removeFirst());
        }
    }

    private void enqueue(Arrival arrival) {
        Optional<AdmissionRequest> request =
                admissionEnabled ? arrival.admissionRequest() : Optional.of(AdmissionRequest.UNRANKED);
        if (request.isEmpty()) {
            if (startsInIteration == 0) {
                iterationStartMillis = clock.getAsLong();
            }
            if (arrival.start()) {
                startsInIteration++;
            }
            return;
        }
        long nowMillis = clock.getAsLong();
        if (admission.isEmpty()) {
            backlogBegins = true;
            measuredSinceMillis = startsInIteration == 0 ? nowMillis : iterationStartMillis;
        }
        Optional<AdmissionRefusal> refusal = admission.offer(arrival, request.get(), nowMillis);
        refusal.ifPresent(reason -> refuse(arrival, reason));
    }

    private void nextIteration() {
        long nowMillis = clock.getAsLong();
        loopDelayMillis += LOOP_DELAY_WEIGHT * (nowMillis - iterationScheduledMillis - loopDelayMillis);
        iterationScheduled = false;
        if (!admission.isEmpty()) {
            admission.recordIteration(startsInIteration, nowMillis - measuredSinceMillis, nowMillis);
            measuredSinceMillis = nowMillis;
            if (backlogBegins) {
                backlogBegins = false;
                refusals.backlogBegan(admission.size());
            }
            admission.checkWaiting(Arrival::abandoned, nowMillis).forEach(refusals::add);
        }
        startsInIteration = 0;
        resolveHeld();
        startWaiting();
        sendRefusals(clock.getAsLong() - nowMillis);
    }

    private void startWaiting() {
        while (!admission.isEmpty() && mayStart()) {
            long nowMillis = clock.getAsLong();
            Waiting<Arrival> next = admission.poll(nowMillis);
            if (next == null) {
                break;
            }
            Optional<AdmissionRefusal> refusal = admission.checkStart(next.request(), nowMillis);
            if (refusal.isPresent()) {
                refuse(next.item(), refusal.get());
            } else if (next.item().start()) {
                startsInIteration++;
                admission.started(next.request(), nowMillis);
            }
        }
        if (startsInIteration > 0 || !refusals.isEmpty() || !unresolved.isEmpty()) {
            scheduleIteration();
        }
    }

    private void refuse(Arrival arrival, AdmissionRefusal refusal) {
        refusals.add(new AdmissionController.Refused<>(arrival, refusal));
    }

    private void sendRefusals(long startsMillis) {
        if (admission.isEmpty()) {
            refusals.sendWithoutStarts();
        } else {
            refusals.sendBetweenStarts(startsInIteration, startsMillis, admission.punctualUrgency(clock.getAsLong()));
        }
        if (!refusals.isEmpty()) {
            scheduleIteration();
        }
    }

    private void scheduleIteration() {
        if (!iterationScheduled) {
            iterationScheduled = true;
            iterationScheduledMillis = clock.getAsLong();
            afterNextIteration.accept(this::nextIteration);
        }
    }

    private boolean mayStart() {
        if (startsInIteration == 0) {
            iterationStartMillis = clock.getAsLong();
            return true;
        }
        return startsInIteration < MAX_STARTS_PER_ITERATION
                && clock.getAsLong() - iterationStartMillis < MAX_MILLIS_PER_ITERATION;
    }

    /** A completely received request. */
    interface Arrival {
        /**
         * Starts the request.
         *
         * @return false if the caller has disconnected
         */
        boolean start();

        /** Returns the properties that decide about admission; empty if the request is started regardless of them. */
        default Optional<AdmissionRequest> admissionRequest() {
            return Optional.of(AdmissionRequest.UNRANKED);
        }

        /** Refuses the request, which will not be started. */
        default void refuse(AdmissionRefusal refusal) {}

        /** Tells whether the caller is known to have disconnected. */
        default boolean abandoned() {
            return false;
        }
    }
}
