package org.radishpass.routing.traffic;

import org.jspecify.annotations.Nullable;
import org.radishpass.routing.connection.ReuseSuspension;

/**
 * A request that waits for a connection to an endpoint.
 *
 * @param callback receives the connection
 * @param requestId the id of a request that may be sent on a connection that has been used; otherwise null
 * @param retryable whether the request can be sent again if its response is lost
 */
record WaitingRequest(ConnectionCallback callback, @Nullable String requestId, boolean retryable) {
    /** Tells whether the request may be sent on an open connection that has been used. */
    boolean mayUse(EndpointConnection connection, ReuseSuspension suspension, long nowMillis) {
        return requestId != null && !connection.carried(requestId) && suspension.mayReuse(retryable, nowMillis);
    }
}
