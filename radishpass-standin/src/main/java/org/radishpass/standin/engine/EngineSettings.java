package org.radishpass.standin.engine;

/**
 * How a stand-in engine behaves.
 *
 * @param capacity the requests that it batches at once
 * @param prefillMicrosPerToken the time for a prompt token that is not cached
 * @param decodeMicrosPerToken the time between tokens of an engine with one request
 * @param cacheBlocks the prompt blocks that its cache holds
 * @param reportLagMillis how late its load report is
 * @param checksOrders whether it refuses orders with an old fencing number
 * @since 0.1.0
 */
public record EngineSettings(
        int capacity,
        int prefillMicrosPerToken,
        int decodeMicrosPerToken,
        int cacheBlocks,
        int reportLagMillis,
        boolean checksOrders) {
    /** An engine as in the demo. */
    public static final EngineSettings DEFAULT = new EngineSettings(32, 60, 4_000, 4_000, 500, true);

    /**
     * Returns this with another answer to old orders.
     *
     * @param newChecksOrders whether it refuses orders with an old fencing number
     */
    public EngineSettings checkingOrders(boolean newChecksOrders) {
        return new EngineSettings(
                capacity, prefillMicrosPerToken, decodeMicrosPerToken, cacheBlocks, reportLagMillis, newChecksOrders);
    }
}
