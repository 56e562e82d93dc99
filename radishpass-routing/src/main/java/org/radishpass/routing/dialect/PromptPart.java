package org.radishpass.routing.dialect;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param id the id of the part's content; the same content has the same id in every prompt
 * @param tokens the length of the part, in tokens
 * @since 0.2.0
 */
public record PromptPart(String id, int tokens) {}
