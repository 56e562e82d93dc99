package org.radishpass.routing.traffic;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.config.RequestKind;
import org.radishpass.routing.config.Route;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.config.ServiceSpec;
import org.radishpass.routing.config.TrafficSplit;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.dialect.ForwardingHeaders;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.RequestHead;
import org.radishpass.routing.fairness.RequestClass;
import org.radishpass.routing.fairness.ShareDecision;
import org.radishpass.routing.fleet.RegionMap;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.QueueLimit;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.relay.RelayTerms;
import org.radishpass.routing.stream.StreamOrigin;

/**
 * The terms on which a request is served, fixed when the request starts.
 *
 * @param requestId the id that the caller gave the request
 * @param host the host that the request is for
 * @param route the matching route
 * @param workspaceSpec the workspace of the caller, or null
 * @param service the service that serves the request
 * @param serviceSpec the configuration of the service, or null if the configuration does not contain the service
 * @param promptDescription the properties of the prompt, or null
 * @param callerLastEventId the event after which the caller wants the stream to be resumed, or null
 * @param resumedRequestId the id of the attempt that brought the first event of the resumed stream, or null
 * @param deadlineMillis when the response must be complete, on the monotonic clock in milliseconds
 * @param requiredOrigin what began the stream that the request continues, and what alone may go on with it; null for any
 * @param attemptsLeft the number of endpoints that may still run the request, if another router has relayed it
 */
record RequestTerms(
        String requestId,
        String host,
        Route route,
        @Nullable Workspace workspaceSpec,
        String service,
        @Nullable ServiceSpec serviceSpec,
        @Nullable PromptDescription promptDescription,
        @Nullable String callerLastEventId,
        @Nullable String resumedRequestId,
        long deadlineMillis,
        @Nullable StreamOrigin requiredOrigin,
        int attemptsLeft) {
    /** The terms of a request that has not been resolved. */
    static final RequestTerms UNKNOWN = new RequestTerms(
            "",
            "",
            Route.builder("").split(TrafficSplit.all("")).build(),
            null,
            "",
            null,
            null,
            null,
            null,
            Long.MAX_VALUE,
            null,
            Integer.MAX_VALUE);

    /** The least urgent priority. */
    private static final int LEAST_URGENT = 9;

    static RequestTerms of(
            RequestHead head,
            Route route,
            Optional<Workspace> workspace,
            Optional<ServiceSpec> spec,
            String service,
            long receivedAtMillis) {
        long timeoutMillis =
                Math.min(route.timeoutMillis(), head.timeoutMillis().orElse(Long.MAX_VALUE));
        return new RequestTerms(
                head.id(),
                head.host(),
                route,
                workspace.orElse(null),
                service,
                spec.orElse(null),
                head.promptDescription(),
                head.lastEventId(),
                head.resumedRequestId(),
                receivedAtMillis + timeoutMillis,
                null,
                Integer.MAX_VALUE);
    }

    /**
     * Returns these terms within those that another router has handed on.
     *
     * @param relayed the terms of the relaying router
     * @param receivedAtMillis when the request was received, on the monotonic clock in milliseconds
     */
    RequestTerms within(RelayTerms relayed, long receivedAtMillis) {
        String resumeAfter = relayed.resumeAfter();
        return new RequestTerms(
                requestId,
                host,
                route,
                workspaceSpec,
                service,
                serviceSpec,
                promptDescription,
                resumeAfter == null ? callerLastEventId : resumeAfter,
                resumedRequestId,
                Math.min(deadlineMillis, receivedAtMillis + relayed.remainingMillis()),
                relayed.origin().orElse(requiredOrigin),
                relayed.attempts());
    }

    /**
     * Returns these terms for a stream that only endpoints of one origin may continue.
     *
     * @param origin what began the stream
     */
    RequestTerms withRequiredOrigin(StreamOrigin origin) {
        return new RequestTerms(
                requestId,
                host,
                route,
                workspaceSpec,
                service,
                serviceSpec,
                promptDescription,
                callerLastEventId,
                resumedRequestId,
                deadlineMillis,
                origin,
                attemptsLeft);
    }

    /**
     * Returns these terms for another service of the route, or nothing if the route does not lead to it.
     *
     * @param newService the name of the service
     * @param configuration the configuration in force
     */
    Optional<RequestTerms> forService(String newService, RoutingConfiguration configuration) {
        if (newService.equals(service)) {
            return Optional.of(this);
        }
        if (route.split().shares().stream()
                .noneMatch(share -> share.service().equals(newService) && share.weight() > 0)) {
            return Optional.empty();
        }
        return Optional.of(new RequestTerms(
                requestId,
                host,
                route,
                workspaceSpec,
                newService,
                configuration.service(newService).orElse(null),
                promptDescription,
                callerLastEventId,
                resumedRequestId,
                deadlineMillis,
                requiredOrigin,
                attemptsLeft));
    }

    /** Tells whether the caller takes up a stream that an earlier attempt has begun, and what began it is not known yet. */
    boolean takesUpStream() {
        boolean stated = resumedRequestId != null || (callerLastEventId != null && !callerLastEventId.isEmpty());
        return kind().resumes() && stated && requiredOrigin == null;
    }

    /** Tells whether an endpoint runs the software version that began the stream, if the request continues one. */
    boolean mayContinueAt(ServiceEndpoint endpoint) {
        return requiredOrigin == null || requiredOrigin.continuableAt(endpoint);
    }

    RequestKind kind() {
        return route.kind();
    }

    int maxAttempts() {
        return Math.max(1, Math.min(route.maxAttempts(), attemptsLeft));
    }

    Optional<PromptDescription> prompt() {
        return route.promptAffinity() ? Optional.ofNullable(promptDescription) : Optional.empty();
    }

    /** Returns the maximum number of tokens that the request occupies in the memory of an engine. */
    long maxTokens() {
        return prompt().map(prompt -> (long) prompt.promptTokens() + prompt.maxOutputTokens())
                .orElse(0L);
    }

    Optional<Workspace> workspace() {
        return Optional.ofNullable(workspaceSpec);
    }

    /** Returns the time until the deadline, in milliseconds. */
    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /**
     * Returns the urgency; 0 is the most urgent. The priority of the workspace takes precedence over the priority of
     * the route.
     */
    int urgency() {
        int priority = workspace().flatMap(RequestTerms::priority).orElse(route.priority());
        return Math.min(LEAST_URGENT, Math.max(0, priority));
    }

    /** Tells whether the chosen endpoint already has as many requests as it should. */
    boolean atQueueLimit(PlacementChoice choice) {
        return choice.load() >= queueLimit().requests(choice.endpoint().slots());
    }

    /**
     * Tells whether the chosen endpoint already has as many requests as it should, given the decision by the share of
     * the request.
     */
    boolean atQueueLimit(PlacementChoice choice, ShareDecision decision) {
        return decision.extendsQueueLimit()
                ? choice.load()
                        >= queueLimit().requestsWithinShares(choice.endpoint().slots())
                : atQueueLimit(choice);
    }

    private QueueLimit queueLimit() {
        return QueueLimit.of(serviceSpec);
    }

    /** Returns the class of the request in the shares of its service. */
    RequestClass requestClass() {
        return new RequestClass(workspaceSpec == null ? "" : workspaceSpec.name(), urgency());
    }

    /** Returns the limits for endpoints that have just started, or null if there are none. */
    @Nullable
    ColdStart coldStart() {
        return serviceSpec == null ? null : serviceSpec.coldStartSpec();
    }

    /**
     * Tells whether the request may be run in a data centre. If both the route and the workspace restrict the
     * regions, both restrictions apply.
     */
    boolean mayRunIn(DataCentre dataCentre, RegionMap regions) {
        boolean byRoute = regions.inAllowedRegion(dataCentre, route.allowedRegions());
        return byRoute
                && (workspaceSpec == null || regions.inAllowedRegion(dataCentre, workspaceSpec.allowedRegions()));
    }

    ForwardingHeaders forwardingHeaders(
            ServiceEndpoint endpoint,
            long remainingMillis,
            Optional<String> resumeAfter,
            @Nullable ServiceEndpoint cacheHolder) {
        return new ForwardingHeaders(
                endpoint.name(),
                remainingMillis,
                urgency(),
                workspaceSpec == null ? null : workspaceSpec.name(),
                resumeAfter.orElse(callerLastEventId),
                cacheHolder == null ? null : cacheHolder.address());
    }

    private static Optional<Integer> priority(Workspace workspace) {
        return workspace.priority().isPresent()
                ? Optional.of(workspace.priority().getAsInt())
                : Optional.empty();
    }
}
