package org.radishpass.load.internal.experiment;

/**
 * Parameters of the stand-in engines of an experiment.
 *
 * @param capacity the most requests in an engine's batch
 * @param prefillMicros the prefill time of an uncached prompt token, in microseconds
 * @param decodeMicros the base time between answer tokens, in microseconds, which grows by up to half as the batch
 *     fills
 * @param cacheBlocks the capacity of an engine's prefix cache, in blocks
 * @param reportLagMillis the delay of load reports, in milliseconds
 * @since 0.1.0
 */
public record EngineParameters(
        int capacity, int prefillMicros, int decodeMicros, int cacheBlocks, int reportLagMillis) {}
