package org.radishpass.routing.dialect;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;

/**
 * What a router says to an endpoint beside the caller's own request.
 *
 * @param endpointName the endpoint that alone may run the request
 * @param leftMillis the time left for the answer, in milliseconds
 * @param urgency the rank of the request, 0 being the most urgent
 * @param workspaceName the workspace that the request is run for, or null
 * @param resumeAfter the event after which the answer is to go on, or null
 * @param cacheAddress where another engine holds more of the prompt in its cache, or null
 * @since 0.2.0
 */
public record ForwardingHead(
        String endpointName,
        long leftMillis,
        int urgency,
        @Nullable String workspaceName,
        @Nullable String resumeAfter,
        @Nullable Address cacheAddress) {
    /** Returns the workspace that the request is run for. */
    public Optional<String> workspace() {
        return Optional.ofNullable(workspaceName);
    }

    /** Returns the event after which the answer is to go on. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(resumeAfter);
    }

    /** Returns where another engine holds more of the prompt in its cache, to be fetched from there. */
    public Optional<Address> cacheSource() {
        return Optional.ofNullable(cacheAddress);
    }
}
