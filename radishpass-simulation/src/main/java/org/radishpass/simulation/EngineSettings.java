package org.radishpass.simulation;

/**
 * The capacity and speed of a simulated inference engine.
 *
 * @param slots the requests that an engine runs at once
 * @param memoryTokens the tokens that the memory of an engine holds, for running requests and cached prompts together
 * @param stepMillis the minimum duration of a step, in milliseconds; in a step, each running request whose prompt has
 *     been read gets one token
 * @param startMillis the fixed delay before the engine begins to read the prompt of a request, in milliseconds
 * @param perRequestMillis the time that each running request adds to a step, in milliseconds
 * @param readTokensPerMilli the prompt tokens that an engine reads in a millisecond
 * @param chunkTokens the maximum number of prompt tokens that an engine reads in one step, over all running requests
 */
record EngineSettings(
        int slots,
        long memoryTokens,
        double stepMillis,
        double startMillis,
        double perRequestMillis,
        double readTokensPerMilli,
        int chunkTokens) {}
