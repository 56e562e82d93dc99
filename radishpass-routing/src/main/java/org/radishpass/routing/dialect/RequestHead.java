package org.radishpass.routing.dialect;

import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * What the head of a caller's request says.
 *
 * @param id the caller's name for this attempt; empty if it gave none
 * @param host the host without a port
 * @param path the path without a query
 * @param patienceMillis how long the caller waits from when it sent the request, in milliseconds, if it says so
 * @param bearerKey the key, or null
 * @param promptShape what it says of its prompt, or null
 * @param lastEventId the event after which the answer is to go on, or null
 * @since 0.2.0
 */
public record RequestHead(
        String id,
        String host,
        String path,
        OptionalLong patienceMillis,
        @Nullable String bearerKey,
        @Nullable PromptShape promptShape,
        @Nullable String lastEventId) {
    /** Returns the key. */
    public Optional<String> key() {
        return Optional.ofNullable(bearerKey);
    }

    /** Returns what it says of its prompt. */
    public Optional<PromptShape> prompt() {
        return Optional.ofNullable(promptShape);
    }
}
