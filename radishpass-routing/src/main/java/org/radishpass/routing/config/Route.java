package org.radishpass.routing.config;

import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.Region;

/**
 * Where the requests of one host and path prefix go, and under which terms.
 *
 * @param name its name
 * @param host the host that requests name
 * @param prefix what their paths begin with; begins and ends with a slash
 * @param kind what may be done with a request that has perhaps run
 * @param split the services that answer
 * @param timeoutMillis the longest time that a request is kept waiting for its whole answer, in milliseconds
 * @param targetLatencyMillis the time within which an answer is worth most, in milliseconds
 * @param priority its rank; 0 is the most urgent
 * @param maxAttempts the endpoints that one request may be sent to
 * @param anonymous whether requests need no key
 * @param promptAffinity whether requests say which parts their prompts share
 * @param allowedRegions the regions in which its requests may run; empty if that is everywhere
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
    /** Takes a copy. */
    public Route {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Starts a route.
     *
     * @param name its name
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /**
     * Builds a route.
     *
     * @since 0.2.0
     */
    public static final class Builder {
        /** Used where a record names none: the longest that common clients wait. */
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

        /** Sets the host and the path prefix. */
        public Builder match(String newHost, String newPrefix) {
            this.host = newHost;
            this.prefix = newPrefix;
            return this;
        }

        /** Sets what may be done with a request that has perhaps run. */
        public Builder kind(RequestKind newKind) {
            this.kind = newKind;
            return this;
        }

        /** Sets the services that answer. */
        public Builder split(TrafficSplit newSplit) {
            this.split = newSplit;
            return this;
        }

        /** Sets the longest time that a request is kept waiting, in milliseconds. */
        public Builder timeoutMillis(long millis) {
            this.timeoutMillis = millis;
            return this;
        }

        /** Sets the time within which an answer is worth most, in milliseconds. */
        public Builder targetLatencyMillis(long millis) {
            this.targetLatencyMillis = millis;
            return this;
        }

        /** Sets the rank; 0 is the most urgent. */
        public Builder priority(int newPriority) {
            this.priority = newPriority;
            return this;
        }

        /** Sets the endpoints that one request may be sent to. */
        public Builder maxAttempts(int attempts) {
            this.maxAttempts = attempts;
            return this;
        }

        /** Sets whether requests need no key. */
        public Builder anonymous(boolean open) {
            this.anonymous = open;
            return this;
        }

        /** Sets whether requests say which parts their prompts share. */
        public Builder promptAffinity(boolean affinity) {
            this.promptAffinity = affinity;
            return this;
        }

        /** Sets the regions in which requests may run; empty if that is everywhere. */
        public Builder allowedRegions(Set<Region> regions) {
            this.allowedRegions = regions;
            return this;
        }

        /**
         * Returns the route.
         *
         * @throws NullPointerException if no service was named
         */
        public Route build() {
            return new Route(
                    name,
                    host,
                    prefix,
                    kind,
                    Objects.requireNonNull(split, "a route needs a service"),
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
