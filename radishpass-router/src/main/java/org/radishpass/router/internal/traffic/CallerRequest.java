package org.radishpass.router.internal.traffic;

import java.time.Instant;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.records.WorkspaceSpec;
import org.radishpass.router.internal.control.RouterSnapshot;

/**
 * What every caller's request has.
 *
 * @param id the request, unique in the fleet
 * @param workspace the workspace that asks
 * @param priority its class
 * @param receivedAt when it came in
 * @param deadline when its caller stops waiting
 * @param snapshot the control state that it is served by
 * @since 0.1.0
 */
public record CallerRequest(
        String id,
        WorkspaceSpec workspace,
        PriorityClass priority,
        Instant receivedAt,
        Instant deadline,
        RouterSnapshot snapshot) {}
