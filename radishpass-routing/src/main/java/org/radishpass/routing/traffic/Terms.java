package org.radishpass.routing.traffic;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.EngineSpec;
import org.radishpass.routing.config.RequestKind;
import org.radishpass.routing.config.Route;
import org.radishpass.routing.config.ServiceSpec;
import org.radishpass.routing.config.TrafficSplit;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.dialect.ForwardingHead;
import org.radishpass.routing.dialect.PromptShape;
import org.radishpass.routing.dialect.RequestHead;
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
 * @param engineSpec what the service's engines can take, or null for a plain service
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
        @Nullable EngineSpec engineSpec,
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
                spec.flatMap(ServiceSpec::engine).orElse(null),
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
        QueueLimit limit = engineSpec == null ? QueueLimit.PLAIN : QueueLimit.ENGINE;
        return choice.load() >= limit.requests(choice.endpoint().slots());
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
