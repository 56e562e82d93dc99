package org.radishpass.routing.traffic;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.config.RequestKind;
import org.radishpass.routing.config.Route;
import org.radishpass.routing.config.ServiceSpec;
import org.radishpass.routing.config.TrafficSplit;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.dialect.ForwardingHead;
import org.radishpass.routing.dialect.PromptShape;
import org.radishpass.routing.dialect.RequestHead;
import org.radishpass.routing.fleet.RegionMap;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.QueueLimit;
import org.radishpass.routing.placement.PlacementChoice;

/**
 * The terms on which a request is served, fixed when it starts.
 *
 * @param requestId the caller's name for it
 * @param host the host that it is for
 * @param route its route
 * @param workspaceSpec the workspace that it is run for, or null
 * @param service the service that answers it
 * @param serviceSpec what the configuration says of the service, or null if it does not name it
 * @param promptShape what it says of its prompt, or null
 * @param callerLastEventId the event after which the caller wants the answer to go on, or null
 * @param deadlineMillis when the answer must be whole, on the monotonic clock in milliseconds
 */
record Terms(
        String requestId,
        String host,
        Route route,
        @Nullable Workspace workspaceSpec,
        String service,
        @Nullable ServiceSpec serviceSpec,
        @Nullable PromptShape promptShape,
        @Nullable String callerLastEventId,
        long deadlineMillis) {
    /** The terms of a request of which nothing is known yet. */
    static final Terms UNKNOWN = new Terms(
            "", "", Route.builder("").split(TrafficSplit.all("")).build(), null, "", null, null, null, Long.MAX_VALUE);

    private static final int LEAST_URGENT = 9;

    static Terms of(
            RequestHead head,
            Route route,
            Optional<Workspace> workspace,
            Optional<ServiceSpec> spec,
            String service,
            long receivedAtMillis) {
        long patience = Math.min(route.timeoutMillis(), head.patienceMillis().orElse(Long.MAX_VALUE));
        return new Terms(
                head.id(),
                head.host(),
                route,
                workspace.orElse(null),
                service,
                spec.orElse(null),
                head.promptShape(),
                head.lastEventId(),
                receivedAtMillis + patience);
    }

    RequestKind kind() {
        return route.kind();
    }

    int maxAttempts() {
        return Math.max(1, route.maxAttempts());
    }

    Optional<PromptShape> prompt() {
        return route.promptAffinity() ? Optional.ofNullable(promptShape) : Optional.empty();
    }

    /** Returns the tokens that it needs of an engine's memory at most. */
    long tokens() {
        return prompt().map(prompt -> (long) prompt.promptTokens() + prompt.maxOutputTokens())
                .orElse(0L);
    }

    Optional<Workspace> workspace() {
        return Optional.ofNullable(workspaceSpec);
    }

    long leftMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /** Returns the rank of the request; a workspace's own goes before its route's. */
    int urgency() {
        int rank = workspace().flatMap(Terms::rank).orElse(route.priority());
        return Math.min(LEAST_URGENT, Math.max(0, rank));
    }

    /** Tells whether the chosen endpoint holds all the work that it should. */
    boolean full(PlacementChoice choice) {
        boolean engine = serviceSpec != null && serviceSpec.engine().isPresent();
        QueueLimit limit = engine ? QueueLimit.ENGINE : QueueLimit.PLAIN;
        return choice.load() >= limit.requests(choice.endpoint().slots());
    }

    /** Returns what endpoints bear shortly after their start; null if that is no less than later. */
    @Nullable
    ColdStart coldStart() {
        return serviceSpec == null ? null : serviceSpec.coldStartSpec();
    }

    /** Tells whether the request may run in a data centre: where route and workspace both name regions, both bind. */
    boolean mayRunIn(DataCentre dataCentre, RegionMap regions) {
        boolean byRoute = regions.within(dataCentre, route.allowedRegions());
        return byRoute && (workspaceSpec == null || regions.within(dataCentre, workspaceSpec.allowedRegions()));
    }

    ForwardingHead forwarding(
            ServiceEndpoint endpoint,
            long leftMillis,
            Optional<String> resumeAfter,
            @Nullable ServiceEndpoint cacheHolder) {
        return new ForwardingHead(
                endpoint.name(),
                leftMillis,
                urgency(),
                workspaceSpec == null ? null : workspaceSpec.name(),
                resumeAfter.orElse(callerLastEventId),
                cacheHolder == null ? null : cacheHolder.address());
    }

    private static Optional<Integer> rank(Workspace workspace) {
        return workspace.priority().isPresent()
                ? Optional.of(workspace.priority().getAsInt())
                : Optional.empty();
    }
}
