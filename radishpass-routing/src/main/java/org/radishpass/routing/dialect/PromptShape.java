package org.radishpass.routing.dialect;

import java.util.List;
import org.radishpass.core.placement.Rendezvous;

/**
 * What a request says of its prompt.
 *
 * @param model the model that it asks for
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the most tokens that it may generate
 * @param parts the parts of the prompt in order; the last belongs to the request or its session alone
 * @since 0.2.0
 */
public record PromptShape(String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    private static final long CHAIN_MIX = 0x9E3779B97F4A7C15L;

    /** Copies the parts. */
    public PromptShape {
        parts = List.copyOf(parts);
    }

    /** Returns the number of leading parts that other requests may share. */
    public int sharedParts() {
        return Math.max(0, parts.size() - 1);
    }

    /**
     * Returns the hash of the leading parts of the prompt together with the model.
     *
     * @param count how many parts
     */
    public long chainHash(int count) {
        long hash = Rendezvous.hash(model);
        for (PromptPart part : parts.subList(0, count)) {
            hash = Rendezvous.mix(hash * CHAIN_MIX, Rendezvous.hash(part.id()));
        }
        return hash;
    }
}
