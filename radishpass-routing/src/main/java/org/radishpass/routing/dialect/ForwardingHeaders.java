package org.radishpass.routing.dialect;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;

/**
 * The values that a router adds to a caller's request before it forwards the request to an endpoint.
 *
 * @param endpointName the name of the only endpoint that may run the request
 * @param remainingMillis the time left until the response must be complete, in milliseconds
 * @param urgency the priority of the request; 0 is the most urgent
 * @param workspaceName the name of the workspace on whose behalf the request runs, or null
 * @param resumeAfter the id of the event after which the response is to continue, or null
 * @param cacheAddress the address of another engine that caches more of the prompt, or null
 * @since 0.2.0
 */
public record ForwardingHeaders(
        String endpointName,
        long remainingMillis,
        int urgency,
        @Nullable String workspaceName,
        @Nullable String resumeAfter,
        @Nullable Address cacheAddress) {
    /** Returns the name of the workspace on whose behalf the request runs. */
    public Optional<String> workspace() {
        return Optional.ofNullable(workspaceName);
    }

    /** Returns the id of the event after which the response is to continue. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(resumeAfter);
    }

    /** Returns the address of another engine that caches more of the prompt, from which the cache can be fetched. */
    public Optional<Address> cacheSource() {
        return Optional.ofNullable(cacheAddress);
    }
}
