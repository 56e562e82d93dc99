package org.radishpass.routing.config;

/**
 * The capacity of each model engine of a service.
 *
 * @param slots the number of requests that one engine runs concurrently
 * @param memoryTokens the number of prompt and output tokens that fit into the memory of one engine
 * @since 0.2.0
 */
public record EngineSpec(int slots, long memoryTokens) {}
