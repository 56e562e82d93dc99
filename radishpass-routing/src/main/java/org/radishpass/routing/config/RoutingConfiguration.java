package org.radishpass.routing.config;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One complete, immutable version of the routing configuration: routes, services, workspaces and limits.
 *
 * @since 0.2.0
 */
public final class RoutingConfiguration {
    private final long version;
    private final Map<String, Map<String, Route>> routesByHost;
    private final Map<String, ServiceSpec> services;
    private final Map<String, Workspace> workspacesByKey;
    private final Map<String, Workspace> workspacesByName = new HashMap<>();
    private final boolean keysRequired;
    private final CallerLimits limits;

    private RoutingConfiguration(Builder builder) {
        this.version = builder.version;
        this.routesByHost = builder.routesByHost;
        this.services = Map.copyOf(builder.services);
        this.workspacesByKey = Map.copyOf(builder.workspacesByKey);
        workspacesByKey.values().forEach(workspace -> workspacesByName.put(workspace.name(), workspace));
        this.keysRequired = builder.keysRequired;
        this.limits = builder.limits;
    }

    /**
     * Returns a builder of a configuration.
     *
     * @param version the version of the configuration; a higher version replaces a lower one
     */
    public static Builder builder(long version) {
        return new Builder(version);
    }

    /** Returns the version of the configuration; a higher version replaces a lower one. */
    public long version() {
        return version;
    }

    /** Returns the size and time limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Tells whether requests need an API key, unless their route accepts anonymous requests. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Finds the route of a request: among the routes of the host, the one with the longest matching path prefix.
     *
     * @param host the host without a port, in upper or lower case
     * @param path the path without a query
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> byPrefix = routesByHost.get(host.toLowerCase(Locale.ROOT));
        if (byPrefix == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a service by its name.
     *
     * @param name the name of the service
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the workspace to which an API key belongs.
     *
     * @param key the API key
     */
    public Optional<Workspace> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /**
     * Finds a workspace that has an API key by its name.
     *
     * @param name the name of the workspace
     * @since 0.9.0
     */
    public Optional<Workspace> workspaceNamed(String name) {
        return Optional.ofNullable(workspacesByName.get(name));
    }

    /**
     * Builder of a {@link RoutingConfiguration}.
     *
     * @since 0.2.0
     */
    public static final class Builder {
        private final long version;
        private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
        private final Map<String, ServiceSpec> services = new HashMap<>();
        private final Map<String, Workspace> workspacesByKey = new HashMap<>();
        private boolean keysRequired;
        private CallerLimits limits = CallerLimits.DEFAULT;

        private Builder(long version) {
            this.version = version;
        }

        /** Adds a route; replaces one with the same host and prefix. */
        public Builder route(Route route) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.prefix(), route);
            return this;
        }

        /** Adds a service; replaces one with the same name. */
        public Builder service(ServiceSpec service) {
            services.put(service.name(), service);
            return this;
        }

        /** Adds a workspace with its API keys, and makes API keys mandatory. */
        public Builder workspace(Workspace workspace, List<String> keys) {
            keysRequired = true;
            keys.forEach(key -> workspacesByKey.put(key, workspace));
            return this;
        }

        /** Makes API keys mandatory, even if the configuration has no workspace. */
        public Builder requireKeys() {
            keysRequired = true;
            return this;
        }

        /** Sets the size and time limits for callers. */
        public Builder limits(CallerLimits newLimits) {
            this.limits = newLimits;
            return this;
        }

        /** Returns the configuration. */
        public RoutingConfiguration build() {
            return new RoutingConfiguration(this);
        }
    }
}
