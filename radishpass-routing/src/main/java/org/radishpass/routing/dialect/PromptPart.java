package org.radishpass.routing.dialect;

/**
 * A stretch of a prompt that other prompts may share.
 *
 * @param id names its content
 * @param tokens its length in tokens
 * @since 0.2.0
 */
public record PromptPart(String id, int tokens) {}
