package org.radishpass.standin.platform;

import java.time.Duration;

/**
 * Stand-in for the weight store. Reads are served one after another, each with the same duration.
 *
 * @since 0.1.0
 */
public final class WeightStoreStandIn {
    private final long nanosPerRead;
    private long freeAtNanos;
    private long reads;

    /**
     * Creates a store without queued reads.
     *
     * @param durationPerRead the time to read one model or adapter
     */
    public WeightStoreStandIn(Duration durationPerRead) {
        this.nanosPerRead = durationPerRead.toNanos();
    }

    /**
     * Adds a read at the end of the queue.
     *
     * @param nowNanos the current time, as of {@link System#nanoTime()}
     * @return the time until the read is complete
     */
    public synchronized Duration enqueueRead(long nowNanos) {
        reads++;
        if (freeAtNanos - nowNanos < 0 || reads == 1) {
            freeAtNanos = nowNanos;
        }
        freeAtNanos += nanosPerRead;
        return Duration.ofNanos(freeAtNanos - nowNanos);
    }

    /** Returns the number of reads so far. */
    public synchronized long reads() {
        return reads;
    }
}
