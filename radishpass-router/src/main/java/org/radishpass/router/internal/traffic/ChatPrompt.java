package org.radishpass.router.internal.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.runtime.http.HttpJson;

/**
 * What the router reads of a chat request.
 *
 * @param model the model as the caller names it
 * @param streamed whether the answer is to be streamed
 * @param chat what tells the chat from others
 * @param affinity the token of the chat's last turn, if the caller brought one
 * @since 0.1.0
 */
public record ChatPrompt(
        String model,
        boolean streamed,
        String chat,
        @Nullable String affinity) {
    private static final int OPENING_MESSAGES = 2;

    /**
     * Reads a request's body.
     *
     * @param body the body
     * @param chatId the chat as the caller names it, if it does
     * @param affinity the token of the chat's last turn, if the caller brought one
     * @throws RefusedException if it is not a chat request
     */
    public static ChatPrompt read(byte[] body, @Nullable String chatId, @Nullable String affinity) {
        JsonNode json = parse(body);
        if (!json.path("model").isTextual() || json.path("model").asText().isBlank()) {
            throw RefusedException.notRun(RefusalCode.BAD_REQUEST, "model is missing; write a model's name");
        }
        if (!json.path("messages").isArray() || json.path("messages").isEmpty()) {
            throw RefusedException.notRun(RefusalCode.BAD_REQUEST, "messages is missing; write a list of messages");
        }
        String chat = chatId != null && !chatId.isBlank() ? chatId : opening(json.path("messages"));
        return new ChatPrompt(json.path("model").asText(), json.path("stream").asBoolean(false), chat, affinity);
    }

    @SuppressWarnings("PMD.PreserveStackTrace") // a refusal is an answer, not a fault to trace
    private static JsonNode parse(byte[] body) {
        try {
            return HttpJson.parse(body);
        } catch (UncheckedIOException e) {
            throw RefusedException.notRun(RefusalCode.BAD_REQUEST, "the body is not JSON: " + e.getMessage());
        }
    }

    /** A returning chat repeats its first messages, so their hash names it where the caller does not. */
    private static String opening(JsonNode messages) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < Math.min(OPENING_MESSAGES, messages.size()); i++) {
            text.append(messages.get(i)).append('\n');
        }
        return Long.toHexString(Rendezvous.hash(text.toString()));
    }
}
