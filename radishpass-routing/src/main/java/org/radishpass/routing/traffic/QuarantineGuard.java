package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.QuarantineStatus;
import org.radishpass.routing.quarantine.RequestFingerprint;

/**
 * Decides whether one arrival of a request may be sent to an endpoint, given that the request may be one that crashes
 * endpoints.
 */
final class QuarantineGuard {
    /**
     * Maximum number of endpoints at which the response to one arrival may fail once one of these endpoints has exited.
     */
    private static final int MAX_FAILED_RESPONSES = 2;

    private final TrafficContext context;
    private final RequestFingerprint fingerprint;
    private final String service;
    private final QuarantineStatus statusOnArrival;
    private final List<String> failedAt = new ArrayList<>(1);

    QuarantineGuard(TrafficContext context, RequestFingerprint fingerprint, String service) {
        this.context = context;
        this.fingerprint = fingerprint;
        this.service = service;
        this.statusOnArrival = status();
    }

    /** Tells whether the request may be sent to an endpoint now. */
    boolean admitted() {
        return status().admitted();
    }

    /**
     * Tells whether the request may be retried after its response failed, or is overdue, at one endpoint. In most cases
     * another request crashed the endpoint, so one retry is allowed. With a retry at each of {@code maxAttempts}
     * endpoints, one arrival crashed three endpoints before the cause was known.
     */
    boolean mayBeRetried() {
        boolean limitReached = failedAt.size() >= MAX_FAILED_RESPONSES
                && failedAt.stream().anyMatch(context.exitDetector()::hasExited);
        return statusOnArrival.mayBeRetried() && !limitReached;
    }

    /** Records that the request is being sent. */
    void sent() {
        context.quarantine().sent(fingerprint, context.nowMillis());
    }

    /** Records that the response failed at the endpoint. */
    void responseFailed(ServiceEndpoint endpoint) {
        failedAt.add(endpoint.id());
    }

    /** Records that the request was answered and its endpoint is alive, which shows that the request is harmless. */
    void responseCompleted() {
        context.quarantine().answered(fingerprint, service, context.nowMillis());
    }

    private QuarantineStatus status() {
        return context.quarantine().status(fingerprint, service, context.nowMillis());
    }
}
