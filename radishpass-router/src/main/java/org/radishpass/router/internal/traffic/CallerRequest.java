package org.radishpass.router.internal.traffic;

import java.time.Instant;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.records.WorkspaceSpec;
import org.radishpass.router.internal.control.RouterSnapshot;

/**
 * Properties common to all authenticated requests of callers.
 *
 * @param id the request's id, unique in the fleet
 * @param workspace the workspace that sent the request
 * @param priority the request's priority class
 * @param receivedAt the time when this router received the request
 * @param deadline the time when the caller stops waiting
 * @param snapshot the control state that was current when the request arrived
 * @since 0.1.0
 */
public record CallerRequest(
        String id,
        WorkspaceSpec workspace,
        PriorityClass priority,
        Instant receivedAt,
        Instant deadline,
        RouterSnapshot snapshot) {}
