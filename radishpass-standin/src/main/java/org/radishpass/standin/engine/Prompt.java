package org.radishpass.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.radishpass.core.cache.PromptBlocks;

/**
 * The parts of a chat completion request that the stand-in engine uses.
 *
 * @param nonce the first word of the last message, which every answer token repeats
 * @param blockHashes the hashes of the prompt's whole blocks
 * @param tokens the number of tokens in the prompt
 * @param maxTokens the number of tokens in the answer
 * @param streamed whether the caller asked for a stream
 * @since 0.1.0
 */
record Prompt(String nonce, List<Long> blockHashes, int tokens, int maxTokens, boolean streamed) {
    private static final int DEFAULT_MAX_TOKENS = 16;

    static Prompt parse(JsonNode body) {
        StringBuilder text = new StringBuilder();
        String lastMessage = "";
        for (JsonNode message : body.path("messages")) {
            lastMessage = message.path("content").asText();
            text.append(lastMessage).append(' ');
        }
        String prompt = text.toString();
        int nonceEnd = lastMessage.indexOf(' ');
        String nonce = nonceEnd < 0 ? lastMessage : lastMessage.substring(0, nonceEnd);
        List<Long> blockHashes = PromptBlocks.prefixHashes(prompt);
        int tokens = (int) prompt.chars().filter(c -> c == ' ').count();
        int maxTokens = Math.max(1, body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        return new Prompt(
                nonce, blockHashes, tokens, maxTokens, body.path("stream").asBoolean(false));
    }

    /** Returns the answer token at an index. Answer tokens depend only on the prompt. */
    String answerToken(int index) {
        return nonce + '-' + index + ' ';
    }
}
