package org.radishpass.router.internal.traffic;

import java.time.Clock;
import org.radishpass.core.admission.WorkspaceGate;
import org.radishpass.router.internal.endpoint.EndpointClient;

/**
 * What the handlers of requests share.
 *
 * @param placer finds endpoints
 * @param client sends to them
 * @param retries bounds the attempts
 * @param gate holds workspaces to their limits
 * @param metrics counts and times
 * @param refusals writes refusals
 * @param decisions remembers what was decided
 * @param identity finds out who asks
 * @param clock tells the time
 * @since 0.1.0
 */
record TrafficTools(
        Placer placer,
        EndpointClient client,
        Retries.Source retries,
        WorkspaceGate gate,
        TrafficMetrics metrics,
        RefusalWriter refusals,
        DecisionLog decisions,
        CallerIdentity identity,
        Clock clock) {}
