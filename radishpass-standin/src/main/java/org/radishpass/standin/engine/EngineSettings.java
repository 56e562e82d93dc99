package org.radishpass.standin.engine;

/**
 * Settings of a stand-in engine.
 *
 * @param capacity the most requests in the batch
 * @param prefillMicrosPerToken the prefill time of an uncached prompt token, in microseconds
 * @param decodeMicrosPerToken the base time between answer tokens, in microseconds, which grows by up to half as
 *     the batch fills
 * @param cacheBlocks the capacity of the prefix cache, in blocks
 * @param reportLagMillis the delay of load reports, in milliseconds
 * @param rejectsStaleOrders whether orders with an outdated fencing number are refused
 * @since 0.1.0
 */
public record EngineSettings(
        int capacity,
        int prefillMicrosPerToken,
        int decodeMicrosPerToken,
        int cacheBlocks,
        int reportLagMillis,
        boolean rejectsStaleOrders) {
    /** The settings of the engines in the demo. */
    public static final EngineSettings DEFAULT = new EngineSettings(32, 60, 4_000, 4_000, 500, true);

    /**
     * Returns a copy of these settings with another choice for outdated orders.
     *
     * @param newRejectsStaleOrders whether orders with an outdated fencing number are refused
     */
    public EngineSettings withRejectsStaleOrders(boolean newRejectsStaleOrders) {
        return new EngineSettings(
                capacity,
                prefillMicrosPerToken,
                decodeMicrosPerToken,
                cacheBlocks,
                reportLagMillis,
                newRejectsStaleOrders);
    }
}
