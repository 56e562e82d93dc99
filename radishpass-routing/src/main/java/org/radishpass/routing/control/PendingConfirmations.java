package org.radishpass.routing.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The streams that wait for a read of the recorded versions. Reads are spaced, so that all routers together stay within what
 * the store accepts although every caller takes up a stream at the same time. Not thread-safe.
 */
final class PendingConfirmations {
    /** Reads of all routers together, per second: a quarter of what the store accepts. */
    private static final int READS_PER_SECOND = 500;

    /** Shortest time between two reads of one router, in milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 50;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private long dueAtMillis = Long.MIN_VALUE;

    /** Adds a receiver, which is told whether the next read succeeded. */
    void add(Consumer<Boolean> receiver) {
        waiting.add(receiver);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Returns how long the next read has to wait. */
    Duration delay(long nowMillis) {
        return nowMillis >= dueAtMillis ? Duration.ZERO : Duration.ofMillis(dueAtMillis - nowMillis);
    }

    /**
     * Removes and returns the receivers, for a read that begins now.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @param routers the number of routers of the fleet
     */
    List<Consumer<Boolean>> take(long nowMillis, int routers) {
        dueAtMillis = nowMillis + Math.max(MIN_INTERVAL_MILLIS, routers * MILLIS_PER_SECOND / READS_PER_SECOND);
        List<Consumer<Boolean>> taken = List.copyOf(waiting);
        waiting.clear();
        return taken;
    }
}
