package org.radishpass.routing.dialect;

import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * The decoded head of a caller's request.
 *
 * @param id the id that the caller gave this attempt; empty if absent
 * @param host the host without a port
 * @param path the path without a query
 * @param timeoutMillis the time for which the caller waits for the response after sending, in milliseconds, if stated
 * @param bearerKey the API key, or null
 * @param promptDescription the description of the prompt, or null
 * @param lastEventId the id of the event after which the response is to continue, or null
 * @param resumedRequestId the id of the attempt that brought the first event of the stream that this request takes up, or
 *     null
 * @since 0.2.0
 */
public record RequestHead(
        String id,
        String host,
        String path,
        OptionalLong timeoutMillis,
        @Nullable String bearerKey,
        @Nullable PromptDescription promptDescription,
        @Nullable String lastEventId,
        @Nullable String resumedRequestId) {
    /** Returns the API key. */
    public Optional<String> key() {
        return Optional.ofNullable(bearerKey);
    }

    /** Returns the description of the prompt. */
    public Optional<PromptDescription> prompt() {
        return Optional.ofNullable(promptDescription);
    }
}
