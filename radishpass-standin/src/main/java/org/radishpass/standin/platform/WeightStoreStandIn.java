package org.radishpass.standin.platform;

import java.time.Duration;

/**
 * The weight store: loads queue behind each other at a limited rate.
 *
 * @since 0.1.0
 */
public final class WeightStoreStandIn {
    private final long nanosPerLoad;
    private long freeAtNanos;
    private long loads;

    /**
     * Creates a store.
     *
     * @param perLoad how long it takes to read one model or adapter
     */
    public WeightStoreStandIn(Duration perLoad) {
        this.nanosPerLoad = perLoad.toNanos();
    }

    /**
     * Takes the next place in the queue.
     *
     * @param nowNanos the time
     * @return how long the reader has to wait for its weights
     */
    public synchronized Duration read(long nowNanos) {
        loads++;
        if (freeAtNanos - nowNanos < 0 || loads == 1) {
            freeAtNanos = nowNanos;
        }
        freeAtNanos += nanosPerLoad;
        return Duration.ofNanos(freeAtNanos - nowNanos);
    }

    /** Returns how many reads there were. */
    public synchronized long loads() {
        return loads;
    }
}
