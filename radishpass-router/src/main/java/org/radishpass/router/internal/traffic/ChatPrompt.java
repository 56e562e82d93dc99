package org.radishpass.router.internal.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.runtime.http.HttpJson;

/**
 * The properties of a chat request that affect routing.
 *
 * @param model the model's name as the caller wrote it
 * @param streamed whether the caller requested a streamed response
 * @param chat the key that identifies the chat: the caller's chat id or a hash of the first messages
 * @param affinity the affinity token that the caller received with the chat's last turn, or null
 * @since 0.1.0
 */
public record ChatPrompt(
        String model,
        boolean streamed,
        String chat,
        @Nullable String affinity) {
    private static final int HASHED_MESSAGES = 2;

    /**
     * Parses the body of a chat request.
     *
     * @param body the body, as JSON
     * @param chatId the caller's id of the chat, or null
     * @param affinity the affinity token that the caller received with the chat's last turn, or null
     * @throws RefusedException if the body is not a valid chat request
     */
    public static ChatPrompt read(byte[] body, @Nullable String chatId, @Nullable String affinity) {
        JsonNode json = parse(body);
        if (!json.path("model").isTextual() || json.path("model").asText().isBlank()) {
            throw RefusedException.notRun(RefusalCode.BAD_REQUEST, "model is missing; write a model's name");
        }
        if (!json.path("messages").isArray() || json.path("messages").isEmpty()) {
            throw RefusedException.notRun(RefusalCode.BAD_REQUEST, "messages is missing; write a list of messages");
        }
        String chat = chatId != null && !chatId.isBlank() ? chatId : openingHash(json.path("messages"));
        return new ChatPrompt(json.path("model").asText(), json.path("stream").asBoolean(false), chat, affinity);
    }

    @SuppressWarnings("PMD.PreserveStackTrace") // a refusal is a response to the caller, so no stack trace is needed
    private static JsonNode parse(byte[] body) {
        try {
            return HttpJson.parse(body);
        } catch (UncheckedIOException e) {
            throw RefusedException.notRun(RefusalCode.BAD_REQUEST, "the body is not JSON: " + e.getMessage());
        }
    }

    /**
     * Returns a hash of the first messages, which identifies a chat without a chat id. Each later turn of the chat
     * repeats these messages.
     */
    private static String openingHash(JsonNode messages) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < Math.min(HASHED_MESSAGES, messages.size()); i++) {
            text.append(messages.get(i)).append('\n');
        }
        return Long.toHexString(Rendezvous.hash(text.toString()));
    }
}
