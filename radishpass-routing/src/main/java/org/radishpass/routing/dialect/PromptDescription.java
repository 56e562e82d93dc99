package org.radishpass.routing.dialect;

import java.util.List;
import org.radishpass.core.placement.Rendezvous;

/**
 * The description of a request's prompt, as stated by the caller.
 *
 * @param model the name of the requested model
 * @param promptTokens the length of the prompt, in tokens
 * @param maxOutputTokens the maximum number of tokens that the request may generate
 * @param parts the parts of the prompt in order; the last part is not shared beyond the request or its session
 * @since 0.2.0
 */
public record PromptDescription(String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    private static final long CHAIN_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** Creates a description with a copy of the parts. */
    public PromptDescription {
        parts = List.copyOf(parts);
    }

    /** Returns the number of leading parts that other requests may share. */
    public int sharedParts() {
        return Math.max(0, parts.size() - 1);
    }

    /**
     * Returns a hash of the model and of the leading parts of the prompt.
     *
     * @param count the number of leading parts
     */
    public long chainHash(int count) {
        long hash = Rendezvous.hash(model);
        for (PromptPart part : parts.subList(0, count)) {
            hash = Rendezvous.mix(hash * CHAIN_MULTIPLIER, Rendezvous.hash(part.id()));
        }
        return hash;
    }
}
