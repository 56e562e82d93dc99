package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Complete requests that arrive before the router knows its configuration, as after a power failure of all routers.
 *
 * <p>Requests are held while the configuration is being received, since they can then be served here. If they were
 * refused instead, callers would use up their returns at routers that do not know it either, and each return would
 * take processor time that the router needs to read its configuration. Requests are not held if no configuration is being received, and never for more than half
 * of the time that the caller waits, so that another router can still serve them.
 *
 * <p>Not thread-safe; confined to the traffic event loop.
 */
final class HeldArrivals {
    /**
     * Maximum time in milliseconds for which a request is held. A configuration of 500 KB takes half of that on a link
     * of 7 Mbit/s with an eighth of a core.
     */
    static final long MAX_HOLD_MILLIS = 3_000;

    /** A request is held for at most the time that its caller waits, divided by this number. */
    private static final int CALLER_TIMEOUT_DIVISOR = 2;

    private final LongSupplier clock;
    private final BooleanSupplier shouldHold;
    private final Consumer<List<ArrivalQueue.Arrival>> releaseTo;
    private final Consumer<Runnable> scheduler;
    private final List<Held> held = new ArrayList<>();
    private boolean checkScheduled;

    /**
     * Creates an empty instance.
     *
     * @param clock the monotonic clock, in milliseconds
     * @param shouldHold tells whether requests are to be held now
     * @param releaseTo receives the requests that may start, the oldest first
     * @param scheduler runs a task on the event loop after a short delay
     */
    HeldArrivals(
            LongSupplier clock,
            BooleanSupplier shouldHold,
            Consumer<List<ArrivalQueue.Arrival>> releaseTo,
            Consumer<Runnable> scheduler) {
        this.clock = clock;
        this.shouldHold = shouldHold;
        this.releaseTo = releaseTo;
        this.scheduler = scheduler;
    }

    /**
     * Returns the latest time until which a request is held.
     *
     * @param receivedAtMillis when the request was received, on the monotonic clock in milliseconds
     * @param callerTimeoutMillis how long the caller waits; {@link Long#MAX_VALUE} if unknown
     */
    static long deadlineMillis(long receivedAtMillis, long callerTimeoutMillis) {
        return receivedAtMillis + Math.min(MAX_HOLD_MILLIS, callerTimeoutMillis / CALLER_TIMEOUT_DIVISOR);
    }

    /** Tells whether a request that arrives now is to be held. */
    boolean shouldHoldNow() {
        return shouldHold.getAsBoolean();
    }

    /**
     * Holds a request.
     *
     * @param arrival the request
     * @param deadlineMillis the latest time until which the request is held, on the monotonic clock in milliseconds
     */
    void add(ArrivalQueue.Arrival arrival, long deadlineMillis) {
        held.add(new Held(arrival, deadlineMillis));
        scheduleCheck();
    }

    /** Releases all requests unconditionally. */
    void releaseAll() {
        release(List.copyOf(held));
    }

    private void check() {
        checkScheduled = false;
        if (!shouldHold.getAsBoolean()) {
            releaseAll();
            return;
        }
        long nowMillis = clock.getAsLong();
        release(held.stream()
                .filter(request -> request.deadlineMillis <= nowMillis)
                .toList());
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (!checkScheduled && !held.isEmpty()) {
            checkScheduled = true;
            scheduler.accept(this::check);
        }
    }

    private void release(List<Held> released) {
        if (!released.isEmpty()) {
            held.removeAll(released);
            releaseTo.accept(released.stream().map(Held::arrival).toList());
        }
    }

    /** A request that is held. */
    private record Held(ArrivalQueue.Arrival arrival, long deadlineMillis) {}
}
