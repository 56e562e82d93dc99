package org.radishpass.routing.placement;

import org.jspecify.annotations.Nullable;
import org.radishpass.routing.dialect.PromptDescription;

/**
 * The lengths of a prompt.
 *
 * @param whole the length of the prompt, in tokens
 * @param shared the length of the parts that other requests may share, in tokens
 */
record PromptTokens(int whole, int shared) {
    static final PromptTokens NONE = new PromptTokens(0, 0);

    static PromptTokens of(@Nullable PromptDescription prompt) {
        if (prompt == null) {
            return NONE;
        }
        int shared = 0;
        for (int part = 0; part < prompt.sharedParts(); part++) {
            shared += Math.max(0, prompt.parts().get(part).tokens());
        }
        return new PromptTokens(Math.max(0, prompt.promptTokens()), Math.max(0, shared));
    }

    /** Returns the tokens that an endpoint reads, which may cache the shared parts. */
    int toRead(boolean sharedCached) {
        return sharedCached ? Math.max(0, whole - shared) : whole;
    }
}
