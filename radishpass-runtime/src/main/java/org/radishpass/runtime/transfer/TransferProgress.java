package org.radishpass.runtime.transfer;

/**
 * How long a transfer is waited for: as long as it moves. A bound on the whole, whatever the size, gave up documents of 500 KB on links
 * of 10 Mbit/s just before their end, and began them anew on the same link, over and over: after a loss of power of all routers
 * none had a configuration for 4 s.
 *
 * <p>Not thread-safe.
 *
 * @since 0.4.0
 */
public final class TransferProgress {
    /** Milliseconds without a byte after which a transfer counts as stalled: three times what the store takes while it is slow. */
    public static final long STALL_TIMEOUT_MILLIS = 800;

    /**
     * Bytes a millisecond below which a transfer is not worth waiting for: under a tenth of the smallest link that is supported
     * (7 Mbit/s, 875 bytes a millisecond), which it shares with callers' traffic.
     */
    static final long LEAST_BYTES_PER_MILLI = 64;

    private final long startMillis;
    private long lastMillis;
    private long bytes;

    /**
     * Begins a transfer.
     *
     * @param startMillis when it was asked for, on a monotonic clock in milliseconds
     */
    public TransferProgress(long startMillis) {
        this.startMillis = startMillis;
        this.lastMillis = startMillis;
    }

    /**
     * Takes note of bytes that have come.
     *
     * @param count how many
     * @param nowMillis the time on the same clock
     */
    public void received(long count, long nowMillis) {
        bytes += count;
        lastMillis = nowMillis;
    }

    /** Returns the bytes that have come. */
    public long bytes() {
        return bytes;
    }

    /** Returns until when it is waited for if nothing more comes, on the same clock in milliseconds. */
    public long deadlineMillis() {
        long slowest = startMillis + STALL_TIMEOUT_MILLIS + bytes / LEAST_BYTES_PER_MILLI;
        return Math.min(slowest, lastMillis + STALL_TIMEOUT_MILLIS);
    }
}
