package org.radishpass.routing.config;

import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.Region;

/**
 * Assigns the requests of one host and path prefix to services, and sets their timeout, priority and retry rules.
 *
 * @param name the name of the route
 * @param host the host that requests must name
 * @param prefix the prefix of the request paths; begins and ends with a slash
 * @param kind whether a request that may already have run can be sent again, and whether the response is a stream
 * @param split the services that handle the requests, with their weights
 * @param timeoutMillis the maximum time until the response is complete, in milliseconds
 * @param targetLatencyMillis the time within which a response should begin, in milliseconds
 * @param priority the priority of the requests; 0 is the most urgent
 * @param maxAttempts the maximum number of endpoints to which one request may be sent
 * @param anonymous whether requests are accepted without an API key
 * @param promptAffinity whether requests name the parts of their prompts that other prompts may share
 * @param allowedRegions the regions in which requests may run; empty if all regions are allowed
 * @since 0.2.0
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        TrafficSplit split,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        int maxAttempts,
        boolean anonymous,
        boolean promptAffinity,
        Set<Region> allowedRegions) {
    /** Creates a route with a copy of the allowed regions. */
    public Route {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Returns a builder of a route.
     *
     * @param name the name of the route
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /**
     * Builder of a {@link Route}.
     *
     * @since 0.2.0
     */
    public static final class Builder {
        /** The timeout of a route that sets none, in milliseconds: common clients wait no longer. */
        private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

        private static final long DEFAULT_TARGET_MILLIS = 1_000;

        private final String name;
        private String host = "";
        private String prefix = "/";
        private RequestKind kind = RequestKind.NON_IDEMPOTENT;
        private @Nullable TrafficSplit split;
        private long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;
        private long targetLatencyMillis = DEFAULT_TARGET_MILLIS;
        private int priority;
        private int maxAttempts = 1;
        private boolean anonymous;
        private boolean promptAffinity;
        private Set<Region> allowedRegions = Set.of();

        private Builder(String name) {
            this.name = name;
        }

        /** Sets the host and the path prefix that requests must have. */
        public Builder match(String newHost, String newPrefix) {
            this.host = newHost;
            this.prefix = newPrefix;
            return this;
        }

        /** Sets whether a request that may already have run can be sent again, and whether the response is a stream. */
        public Builder kind(RequestKind newKind) {
            this.kind = newKind;
            return this;
        }

        /** Sets the services that handle the requests, with their weights. */
        public Builder split(TrafficSplit newSplit) {
            this.split = newSplit;
            return this;
        }

        /** Sets the maximum time until the response is complete, in milliseconds. */
        public Builder timeoutMillis(long millis) {
            this.timeoutMillis = millis;
            return this;
        }

        /** Sets the time within which a response should begin, in milliseconds. */
        public Builder targetLatencyMillis(long millis) {
            this.targetLatencyMillis = millis;
            return this;
        }

        /** Sets the priority of the requests; 0 is the most urgent. */
        public Builder priority(int newPriority) {
            this.priority = newPriority;
            return this;
        }

        /** Sets the maximum number of endpoints to which one request may be sent. */
        public Builder maxAttempts(int attempts) {
            this.maxAttempts = attempts;
            return this;
        }

        /** Sets whether requests are accepted without an API key. */
        public Builder anonymous(boolean allowed) {
            this.anonymous = allowed;
            return this;
        }

        /** Sets whether requests name the parts of their prompts that other prompts may share. */
        public Builder promptAffinity(boolean affinity) {
            this.promptAffinity = affinity;
            return this;
        }

        /** Sets the regions in which requests may run; empty if all regions are allowed. */
        public Builder allowedRegions(Set<Region> regions) {
            this.allowedRegions = regions;
            return this;
        }

        /**
         * Returns the route.
         *
         * @throws NullPointerException if no traffic split was set
         */
        public Route build() {
            return new Route(
                    name,
                    host,
                    prefix,
                    kind,
                    Objects.requireNonNull(split, "a route needs a traffic split"),
                    timeoutMillis,
                    targetLatencyMillis,
                    priority,
                    maxAttempts,
                    anonymous,
                    promptAffinity,
                    allowedRegions);
        }
    }
}
