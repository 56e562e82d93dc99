package org.radishpass.router.internal.traffic;

import java.time.Clock;
import org.radishpass.core.admission.WorkspaceLimiter;
import org.radishpass.router.internal.endpoint.EndpointClient;

/**
 * The components that the request handlers share.
 *
 * @param placer chooses endpoints and reserves slots
 * @param client sends attempts to endpoints
 * @param retries limits the attempts of each request
 * @param workspaceLimiter limits the requests in progress of each workspace
 * @param metrics records counts and durations of requests
 * @param refusals writes refusals to callers
 * @param decisions keeps the recent placement decisions
 * @param authenticator authenticates callers
 * @param gracefulStop decides which requests are taken while the router stops
 * @param clock the source of the current time
 * @since 0.1.0
 */
record TrafficComponents(
        Placer placer,
        EndpointClient client,
        Retries.Factory retries,
        WorkspaceLimiter workspaceLimiter,
        TrafficMetrics metrics,
        RefusalWriter refusals,
        DecisionLog decisions,
        CallerAuthenticator authenticator,
        GracefulStop gracefulStop,
        Clock clock) {}
