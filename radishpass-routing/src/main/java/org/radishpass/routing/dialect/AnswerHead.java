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
 * @param leaving whether the endpoint states that it is draining: it finishes what it has and takes nothing new
 * @param retryAfterMillis for how long the endpoint asks to be sent nothing, in milliseconds, if it says so
 * @since 0.2.0
 */
public record AnswerHead(
        int status,
        boolean notRun,
        @Nullable String requestId,
        @Nullable EndpointLoad endpointLoad,
        OptionalLong keepAliveMillis,
        boolean signed,
        boolean closing,
        boolean leaving,
        OptionalLong retryAfterMillis) {
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /**
     * Starts to describe a head that says nothing but its status.
     *
     * @param status the HTTP status
     */
    public static Builder builder(int status) {
        return new Builder(status);
    }

    /**
     * Returns for how long the endpoint is to be sent nothing because it has rejected a request, in milliseconds. On other answers the
     * header is for the caller alone.
     */
    public OptionalLong backoffMillis() {
        boolean rejected = status == UNAVAILABLE || status == TOO_MANY_REQUESTS;
        return rejected ? retryAfterMillis : OptionalLong.empty();
    }

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

    /**
     * Describes a head.
     *
     * @since 0.6.0
     */
    public static final class Builder {
        private final int status;
        private boolean notRun;
        private @Nullable String requestId;
        private @Nullable EndpointLoad endpointLoad;
        private OptionalLong keepAliveMillis = OptionalLong.empty();
        private boolean signed;
        private boolean closing;
        private boolean leaving;
        private OptionalLong retryAfterMillis = OptionalLong.empty();

        private Builder(int status) {
            this.status = status;
        }

        /** Sets whether the endpoint states that it has not run the request. */
        public Builder notRun(boolean stated) {
            this.notRun = stated;
            return this;
        }

        /** Sets the request that it answers; null if it does not say. */
        public Builder requestId(@Nullable String id) {
            this.requestId = id;
            return this;
        }

        /** Sets the endpoint's load; null if it does not say. */
        public Builder load(@Nullable EndpointLoad load) {
            this.endpointLoad = load;
            return this;
        }

        /** Sets how long it keeps the connection open without a request, in milliseconds. */
        public Builder keepAliveMillis(OptionalLong millis) {
            this.keepAliveMillis = millis;
            return this;
        }

        /** Sets whether it bears the endpoint's signature. */
        public Builder signed(boolean present) {
            this.signed = present;
            return this;
        }

        /** Sets whether it closes the connection after this answer. */
        public Builder closing(boolean stated) {
            this.closing = stated;
            return this;
        }

        /** Sets whether the endpoint states that it is draining. */
        public Builder leaving(boolean stated) {
            this.leaving = stated;
            return this;
        }

        /** Sets for how long the endpoint asks to be sent nothing, in milliseconds. */
        public Builder retryAfterMillis(OptionalLong millis) {
            this.retryAfterMillis = millis;
            return this;
        }

        /** Returns the head. */
        public AnswerHead build() {
            return new AnswerHead(
                    status,
                    notRun,
                    requestId,
                    endpointLoad,
                    keepAliveMillis,
                    signed,
                    closing,
                    leaving,
                    retryAfterMillis);
        }
    }
}
