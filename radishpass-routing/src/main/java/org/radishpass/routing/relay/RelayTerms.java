package org.radishpass.routing.relay;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.stream.StreamOrigin;

/**
 * The terms that a router hands on with a request that it relays: what it has resolved, and what is left to the request.
 *
 * @since 0.9.0
 */
public final class RelayTerms {
    private final String senderId;
    private final long configurationVersion;
    private final @Nullable String workspace;
    private final long remainingMillis;
    private final int attempts;
    private final @Nullable String resumeAfter;
    private final @Nullable StreamOrigin origin;
    private final long bodyBytes;
    private final boolean bodyDeclared;

    private RelayTerms(Builder builder) {
        this.senderId = builder.senderId;
        this.configurationVersion = builder.configurationVersion;
        this.workspace = builder.workspace;
        this.remainingMillis = builder.remainingMillis;
        this.attempts = builder.attempts;
        this.resumeAfter = builder.resumeAfter;
        this.origin = builder.origin;
        this.bodyBytes = builder.bodyBytes;
        this.bodyDeclared = builder.bodyDeclared;
    }

    /**
     * Returns a builder of terms.
     *
     * @param senderId the router that relays the request
     */
    public static Builder builder(String senderId) {
        return new Builder(senderId);
    }

    /** Returns the router that relays the request. */
    public String senderId() {
        return senderId;
    }

    /** Returns the version of the configuration by which the request was resolved. */
    public long configurationVersion() {
        return configurationVersion;
    }

    /** Returns the name of the caller's workspace. The key of the caller is not handed on. */
    public Optional<String> workspace() {
        return Optional.ofNullable(workspace);
    }

    /** Returns the time left until the response must be complete, in milliseconds. */
    public long remainingMillis() {
        return remainingMillis;
    }

    /** Returns the number of endpoints that may still run the request. */
    public int attempts() {
        return attempts;
    }

    /** Returns the id of the event after which the response is to continue, or null. */
    public @Nullable String resumeAfter() {
        return resumeAfter;
    }

    /** Returns what began the stream that the request continues; empty if it continues none, and from earlier releases. */
    public Optional<StreamOrigin> origin() {
        return Optional.ofNullable(origin);
    }

    /** Returns the size of the body, in bytes. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /** Tells whether the caller declared a body, which may be empty. */
    public boolean bodyDeclared() {
        return bodyDeclared;
    }

    /**
     * Builds the terms of a relayed request.
     *
     * @since 0.9.0
     */
    public static final class Builder {
        private final String senderId;
        private long configurationVersion;
        private @Nullable String workspace;
        private long remainingMillis;
        private int attempts = 1;
        private @Nullable String resumeAfter;
        private @Nullable StreamOrigin origin;
        private long bodyBytes;
        private boolean bodyDeclared;

        private Builder(String senderId) {
            this.senderId = senderId;
        }

        /** Sets the version of the configuration by which the request was resolved. */
        public Builder configurationVersion(long version) {
            this.configurationVersion = version;
            return this;
        }

        /** Sets the name of the caller's workspace, or null. */
        public Builder workspace(@Nullable String name) {
            this.workspace = name;
            return this;
        }

        /** Sets the time left until the response must be complete, in milliseconds. */
        public Builder remainingMillis(long millis) {
            this.remainingMillis = millis;
            return this;
        }

        /** Sets the number of endpoints that may still run the request. */
        public Builder attempts(int count) {
            this.attempts = count;
            return this;
        }

        /** Sets the id of the event after which the response is to continue, or null. */
        public Builder resumeAfter(@Nullable String eventId) {
            this.resumeAfter = eventId;
            return this;
        }

        /** Sets what began the stream that the request continues, or null. */
        public Builder origin(@Nullable StreamOrigin streamOrigin) {
            this.origin = streamOrigin;
            return this;
        }

        /**
         * Sets the body.
         *
         * @param bytes the size of the body, in bytes
         * @param declared whether the caller declared a body, which may be empty
         */
        public Builder body(long bytes, boolean declared) {
            this.bodyBytes = bytes;
            this.bodyDeclared = declared;
            return this;
        }

        /** Returns the terms. */
        public RelayTerms build() {
            return new RelayTerms(this);
        }
    }
}
