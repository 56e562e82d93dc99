package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Whole requests that come before the router knows its configuration, as after a loss of power of all routers.
 *
 * <p>While the configuration is on its way they wait for it: were they refused, callers would come back several times, to routers that
 * know no more, and each time take processor time that the router needs to read its configuration. One that is not on its way is
 * not waited for, and none is waited for beyond half of the caller's patience, so that it can still be served elsewhere.
 *
 * <p>A plain object; belongs to the traffic thread.
 */
final class HeldArrivals {
    /**
     * Milliseconds for which a request waits at most: twice what a configuration of 500 KB takes on a link of 7 Mbit/s and an eighth
     * of a core.
     */
    static final long MOST_MILLIS = 3_000;

    /** The part of a caller's patience for which its request waits. */
    private static final int PATIENCE_PART = 2;

    private final LongSupplier clock;
    private final BooleanSupplier holds;
    private final Consumer<List<ArrivalQueue.Arrival>> queue;
    private final Consumer<Runnable> later;
    private final List<Held> held = new ArrayList<>();
    private boolean lookDue;

    /**
     * Creates one that holds nothing.
     *
     * @param clock the monotonic clock, in milliseconds
     * @param holds tells whether requests are to wait now
     * @param queue takes requests that are to begin, the oldest first
     * @param later runs a task on the traffic thread after a moment
     */
    HeldArrivals(
            LongSupplier clock,
            BooleanSupplier holds,
            Consumer<List<ArrivalQueue.Arrival>> queue,
            Consumer<Runnable> later) {
        this.clock = clock;
        this.holds = holds;
        this.queue = queue;
        this.later = later;
    }

    /**
     * Returns until when a request waits at most.
     *
     * @param receivedAtMillis when it came, on the monotonic clock in milliseconds
     * @param patienceMillis how long its caller waits; {@link Long#MAX_VALUE} if it does not say
     */
    static long deadlineMillis(long receivedAtMillis, long patienceMillis) {
        return receivedAtMillis + Math.min(MOST_MILLIS, patienceMillis / PATIENCE_PART);
    }

    /** Tells whether a request that comes now is to wait. */
    boolean holdsNow() {
        return holds.getAsBoolean();
    }

    /**
     * Lets a request wait.
     *
     * @param arrival the request
     * @param deadlineMillis until when at most, on the monotonic clock in milliseconds
     */
    void add(ArrivalQueue.Arrival arrival, long deadlineMillis) {
        held.add(new Held(arrival, deadlineMillis));
        lookLater();
    }

    /** Lets all begin, whatever they wait for. */
    void releaseAll() {
        release(List.copyOf(held));
    }

    private void look() {
        lookDue = false;
        if (!holds.getAsBoolean()) {
            releaseAll();
            return;
        }
        long nowMillis = clock.getAsLong();
        release(held.stream().filter(one -> one.deadlineMillis <= nowMillis).toList());
        lookLater();
    }

    private void lookLater() {
        if (!lookDue && !held.isEmpty()) {
            lookDue = true;
            later.accept(this::look);
        }
    }

    private void release(List<Held> released) {
        if (!released.isEmpty()) {
            held.removeAll(released);
            queue.accept(released.stream().map(Held::arrival).toList());
        }
    }

    /** A request that waits. */
    private record Held(ArrivalQueue.Arrival arrival, long deadlineMillis) {}
}
