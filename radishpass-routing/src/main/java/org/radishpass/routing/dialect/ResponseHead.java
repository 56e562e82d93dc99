package org.radishpass.routing.dialect;

import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * The decoded head of an endpoint's response.
 *
 * @param status the HTTP status code
 * @param notRun whether the endpoint states that it has not run the request
 * @param requestId the id of the request to which the response belongs, or null if absent
 * @param endpointLoad the load that the endpoint reports, or null if absent
 * @param keepAliveMillis the time for which the endpoint keeps an idle connection open, in milliseconds, if stated
 * @param ambiguous whether a header that identifies the response or proves its origin occurs several times
 * @param signed whether the head bears the endpoint's signature, without which a success is not trusted
 * @param closing whether the endpoint closes the connection after this response
 * @param leaving whether the endpoint states that it is leaving: it completes its requests and accepts no new ones
 * @param retryAfterMillis the time for which the endpoint asks to be sent nothing, in milliseconds, if stated
 * @param invalidLoad whether the endpoint reports a load that is ignored because it is malformed or implausible
 * @since 0.2.0
 */
public record ResponseHead(
        int status,
        boolean notRun,
        @Nullable String requestId,
        boolean ambiguous,
        @Nullable EndpointLoad endpointLoad,
        OptionalLong keepAliveMillis,
        boolean signed,
        boolean closing,
        boolean leaving,
        OptionalLong retryAfterMillis,
        boolean invalidLoad) {
    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /**
     * Returns a builder of a head of which only the status is set.
     *
     * @param status the HTTP status code
     */
    public static Builder builder(int status) {
        return new Builder(status);
    }

    /**
     * Returns the time for which the endpoint is to be sent nothing because it has rejected a request, in milliseconds.
     * On responses other than rejections, the Retry-After header concerns the caller only.
     */
    public OptionalLong backoffMillis() {
        boolean rejected = status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
        return rejected ? retryAfterMillis : OptionalLong.empty();
    }

    /** Returns the load that the endpoint reports. */
    public Optional<EndpointLoad> load() {
        return Optional.ofNullable(endpointLoad);
    }

    /** Tells whether a success has no signature and is not trusted: the head was corrupted or truncated on the way. */
    public boolean unsignedSuccess() {
        return successful() && !signed;
    }

    /**
     * Tells whether the status is a success.
     *
     * @since 0.16.0
     */
    public boolean successful() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    }

    /**
     * Builder of an {@link ResponseHead}.
     *
     * @since 0.6.0
     */
    public static final class Builder {
        private final int status;
        private boolean notRun;
        private @Nullable String requestId;
        private boolean ambiguous;
        private @Nullable EndpointLoad endpointLoad;
        private OptionalLong keepAliveMillis = OptionalLong.empty();
        private boolean signed;
        private boolean closing;
        private boolean leaving;
        private OptionalLong retryAfterMillis = OptionalLong.empty();
        private boolean invalidLoad;

        private Builder(int status) {
            this.status = status;
        }

        /** Sets whether the endpoint states that it has not run the request. */
        public Builder notRun(boolean stated) {
            this.notRun = stated;
            return this;
        }

        /** Sets the id of the request to which the response belongs; null if absent. */
        public Builder requestId(@Nullable String id) {
            this.requestId = id;
            return this;
        }

        /**
         * Sets whether a header that identifies the response or proves its origin occurs several times.
         *
         * @since 0.16.0
         */
        public Builder ambiguous(boolean repeated) {
            this.ambiguous = repeated;
            return this;
        }

        /** Sets the load that the endpoint reports; null if absent. */
        public Builder load(@Nullable EndpointLoad load) {
            this.endpointLoad = load;
            return this;
        }

        /** Sets the time for which the endpoint keeps an idle connection open, in milliseconds. */
        public Builder keepAliveMillis(OptionalLong millis) {
            this.keepAliveMillis = millis;
            return this;
        }

        /** Sets whether the head bears the endpoint's signature. */
        public Builder signed(boolean present) {
            this.signed = present;
            return this;
        }

        /** Sets whether the endpoint closes the connection after this response. */
        public Builder closing(boolean stated) {
            this.closing = stated;
            return this;
        }

        /** Sets whether the endpoint states that it is leaving. */
        public Builder leaving(boolean stated) {
            this.leaving = stated;
            return this;
        }

        /** Sets the time for which the endpoint asks to be sent nothing, in milliseconds. */
        public Builder retryAfterMillis(OptionalLong millis) {
            this.retryAfterMillis = millis;
            return this;
        }

        /**
         * Sets whether the endpoint reports a load that is ignored because it is malformed or implausible.
         *
         * @since 0.8.0
         */
        public Builder invalidLoad(boolean ignored) {
            this.invalidLoad = ignored;
            return this;
        }

        /** Returns the head. */
        public ResponseHead build() {
            return new ResponseHead(
                    status,
                    notRun,
                    requestId,
                    ambiguous,
                    endpointLoad,
                    keepAliveMillis,
                    signed,
                    closing,
                    leaving,
                    retryAfterMillis,
                    invalidLoad);
        }
    }
}
