package org.radishpass.runtime.transfer;

/**
 * The progress of a transfer, and the deadline that follows from it. A transfer may continue as long as bytes arrive at
 * a minimum rate. A fixed overall timeout would abort documents of 500 KB on links of 10 Mbit/s just before their end,
 * and restart them on the same link again and again: with such a timeout, no router had a configuration for 4 s after a
 * power loss of all routers.
 *
 * <p>Not thread-safe.
 *
 * @since 0.4.0
 */
public final class TransferProgress {
    /** The time without a byte after which a transfer has stalled: three times the response time of a slow store. */
    public static final long STALL_TIMEOUT_MILLIS = 800;

    /**
     * The minimum rate of a transfer in bytes per millisecond. The rate is less than a tenth of the slowest supported
     * link (7 Mbit/s, 875 bytes per millisecond), because transfers share that link with the traffic of callers.
     */
    static final long MIN_BYTES_PER_MILLI = 64;

    private final long startMillis;
    private long lastMillis;
    private long bytes;

    /**
     * Creates the progress of a transfer without any bytes.
     *
     * @param startMillis the time when the transfer was requested, on a monotonic clock in milliseconds
     */
    public TransferProgress(long startMillis) {
        this.startMillis = startMillis;
        this.lastMillis = startMillis;
    }

    /**
     * Records received bytes.
     *
     * @param count the number of bytes
     * @param nowMillis the current time, on the same clock
     */
    public void received(long count, long nowMillis) {
        bytes += count;
        lastMillis = nowMillis;
    }

    /** Returns the number of bytes received so far. */
    public long bytes() {
        return bytes;
    }

    /** Returns the time at which the transfer fails if no more bytes arrive, on the same clock in milliseconds. */
    public long deadlineMillis() {
        long minRateDeadline = startMillis + STALL_TIMEOUT_MILLIS + bytes / MIN_BYTES_PER_MILLI;
        return Math.min(minRateDeadline, lastMillis + STALL_TIMEOUT_MILLIS);
    }
}
