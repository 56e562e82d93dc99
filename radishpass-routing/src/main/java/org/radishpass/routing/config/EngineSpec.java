package org.radishpass.routing.config;

/**
 * What the model engines of a service can take.
 *
 * @param slots the requests that one engine runs at once
 * @param memoryTokens the prompt and output tokens that one engine's memory holds
 * @since 0.2.0
 */
public record EngineSpec(int slots, long memoryTokens) {}
