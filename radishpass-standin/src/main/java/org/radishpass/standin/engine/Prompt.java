package org.radishpass.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.radishpass.core.cache.PromptBlocks;

/**
 * What the stand-in engine reads of a request.
 *
 * @param nonce the first word of the last message, which every token of the answer repeats
 * @param chain the prompt's blocks
 * @param tokens the prompt's tokens
 * @param maxTokens the tokens of the answer
 * @param streamed whether the answer is to be streamed
 * @since 0.1.0
 */
record Prompt(String nonce, List<Long> chain, int tokens, int maxTokens, boolean streamed) {
    private static final int DEFAULT_TOKENS = 16;

    static Prompt read(JsonNode body) {
        StringBuilder text = new StringBuilder();
        String last = "";
        for (JsonNode message : body.path("messages")) {
            last = message.path("content").asText();
            text.append(last).append(' ');
        }
        String whole = text.toString();
        int space = last.indexOf(' ');
        String nonce = space < 0 ? last : last.substring(0, space);
        List<Long> chain = PromptBlocks.chain(whole);
        int tokens = (int) whole.chars().filter(c -> c == ' ').count();
        int maxTokens = Math.max(1, body.path("max_tokens").asInt(DEFAULT_TOKENS));
        return new Prompt(nonce, chain, tokens, maxTokens, body.path("stream").asBoolean(false));
    }

    /** Returns a token of the answer, which depends on the prompt alone. */
    String token(int index) {
        return nonce + '-' + index + ' ';
    }
}
