package org.radishpass.load.internal.experiment;

/**
 * How the stand-in engines of an experiment behave.
 *
 * @param capacity the requests that an engine batches at once
 * @param prefillMicros the time for a prompt token that is not cached
 * @param decodeMicros the time between tokens of an idle engine
 * @param cacheBlocks the blocks that it caches
 * @param reportLagMillis how late its load report is
 * @since 0.1.0
 */
public record EngineShape(int capacity, int prefillMicros, int decodeMicros, int cacheBlocks, int reportLagMillis) {}
