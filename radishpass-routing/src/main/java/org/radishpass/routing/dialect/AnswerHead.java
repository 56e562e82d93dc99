package org.radishpass.routing.dialect;

import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status the HTTP status
 * @param notRun whether the endpoint states that it has not run the request
 * @param requestId the request that it answers, or null if it does not say
 * @param endpointLoad its load, or null
 * @param keepAliveMillis how long it keeps the connection open without a request, in milliseconds, if it says so
 * @param signed whether it bears the endpoint's signature, without which a success cannot be believed
 * @param closing whether it closes the connection after this answer
 * @since 0.2.0
 */
public record AnswerHead(
        int status,
        boolean notRun,
        @Nullable String requestId,
        @Nullable EndpointLoad endpointLoad,
        OptionalLong keepAliveMillis,
        boolean signed,
        boolean closing) {
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;

    /** Returns the load that the endpoint tells of itself. */
    public Optional<EndpointLoad> load() {
        return Optional.ofNullable(endpointLoad);
    }

    /** Tells whether it claims a success that cannot be believed: its head was spoilt or cut on the way. */
    public boolean unprovenSuccess() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS && !signed;
    }

    /**
     * Tells whether this can be the answer to a request. An endpoint that does not say what it answers is believed.
     *
     * @param id the request
     */
    public boolean answers(String id) {
        return requestId == null || requestId.equals(id);
    }
}
