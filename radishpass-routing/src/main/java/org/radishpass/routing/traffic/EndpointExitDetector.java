package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.InProgressRequest;

/**
 * Detects that the process of an endpoint has exited, and which requests were in flight there. A failed response alone
 * does not prove an exit; the endpoint must also refuse connections. Confined to the traffic event loop.
 */
final class EndpointExitDetector {
    /**
     * Milliseconds within which failed responses and a refused connection are attributed to the same exit. A process
     * that exits closes all its connections within a few milliseconds, and a restart takes longer than this.
     */
    private static final long CORRELATION_MILLIS = 1_000;

    private final Map<String, RecentFailures> byEndpoint = new HashMap<>();
    private final Listener listener;

    EndpointExitDetector(Listener listener) {
        this.listener = listener;
    }

    /**
     * Records a response that failed before it was complete.
     *
     * @param endpoint the endpoint
     * @param request the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    void responseFailed(ServiceEndpoint endpoint, InProgressRequest request, long nowMillis) {
        RecentFailures failures = failuresOf(endpoint, nowMillis);
        failures.requests.add(request);
        if (failures.refused) {
            notifyListener(endpoint, failures);
        }
    }

    /**
     * Records that an endpoint refused a connection.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    void connectionRefused(ServiceEndpoint endpoint, long nowMillis) {
        RecentFailures failures = failuresOf(endpoint, nowMillis);
        failures.refused = true;
        notifyListener(endpoint, failures);
    }

    /** Tells whether the endpoint has refused a connection recently. */
    boolean hasExited(String endpointId) {
        RecentFailures failures = byEndpoint.get(endpointId);
        return failures != null && failures.refused;
    }

    private RecentFailures failuresOf(ServiceEndpoint endpoint, long nowMillis) {
        RecentFailures recent = byEndpoint.get(endpoint.id());
        if (recent != null && nowMillis - recent.firstAtMillis <= CORRELATION_MILLIS) {
            return recent;
        }
        RecentFailures created = new RecentFailures(nowMillis);
        byEndpoint.put(endpoint.id(), created);
        return created;
    }

    /** Removes failures that are too old to be attributed to a later one. */
    void removeExpired(long nowMillis) {
        Iterator<RecentFailures> iterator = byEndpoint.values().iterator();
        while (iterator.hasNext()) {
            if (nowMillis - iterator.next().firstAtMillis > CORRELATION_MILLIS) {
                iterator.remove();
            }
        }
    }

    private void notifyListener(ServiceEndpoint endpoint, RecentFailures failures) {
        List<InProgressRequest> unreported = List.copyOf(failures.requests);
        failures.requests.clear();
        if (!unreported.isEmpty()) {
            listener.endpointExited(endpoint, unreported, failures.firstAtMillis);
        }
    }

    /** Receives notifications of endpoints that have exited. */
    @FunctionalInterface
    interface Listener {
        /**
         * Called when an endpoint has exited with these requests in flight. Called again for requests whose responses
         * fail after the first call.
         *
         * @param endpoint the endpoint
         * @param inFlightRequests the requests
         * @param exitedAtMillis when the exit was first noticed, on the monotonic clock in milliseconds
         */
        void endpointExited(ServiceEndpoint endpoint, List<InProgressRequest> inFlightRequests, long exitedAtMillis);
    }

    /** The failures at one endpoint within the correlation period. */
    private static final class RecentFailures {
        private final List<InProgressRequest> requests = new ArrayList<>();
        private final long firstAtMillis;
        private boolean refused;

        private RecentFailures(long atMillis) {
            this.firstAtMillis = atMillis;
        }
    }
}
