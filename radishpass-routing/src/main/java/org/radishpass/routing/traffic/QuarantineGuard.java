package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.CauseKind;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.QuarantineDecision;
import org.radishpass.routing.quarantine.QuarantineStatus;

/**
 * Decides whether one arrival of a request may be sent to an endpoint, given that the request, or a part of its prompt,
 * may be one that crashes endpoints.
 */
final class QuarantineGuard {
    /**
     * Maximum number of endpoints at which the response to one arrival may fail once one of these endpoints has exited.
     */
    private static final int MAX_FAILED_RESPONSES = 2;

    private final TrafficContext context;
    private final ExchangeRecord record;
    private final QuarantineStatus statusOnArrival;
    private final List<String> failedAt = new ArrayList<>(1);

    /**
     * Creates the guard of one arrival.
     *
     * @param context the shared state of the traffic event loop
     * @param record the log record of the request, with its terms and features
     */
    QuarantineGuard(TrafficContext context, ExchangeRecord record) {
        this.context = context;
        this.record = record;
        this.statusOnArrival = decide().status();
    }

    /** Tells whether the request may be sent to an endpoint now. */
    boolean admitted() {
        return decide().status().admitted();
    }

    /** Returns the refusal of the request, which is not admitted. */
    NextStep.GiveUp refusal() {
        QuarantineDecision decision = decide();
        CauseKind kind = decision.cause().map(CrashCause::kind).orElse(CauseKind.REQUEST);
        record.quarantined(decision);
        return new NextStep.GiveUp(RefusalCode.QUARANTINED, kind.refusalText());
    }

    /**
     * Tells whether the request may be retried after its response failed, or is overdue, at one endpoint. In most cases
     * another request crashed the endpoint, so one retry is allowed, unless a part of the prompt has become suspected
     * meanwhile. With a retry at each of {@code maxAttempts} endpoints, one arrival crashed three endpoints before the
     * cause was known.
     */
    boolean mayBeRetried() {
        boolean limitReached = failedAt.size() >= MAX_FAILED_RESPONSES
                && failedAt.stream().anyMatch(context.exitDetector()::hasExited);
        return statusOnArrival.mayBeRetried() && !limitReached && !partSuspected();
    }

    private boolean partSuspected() {
        return decide().cause()
                .filter(cause -> cause.kind() == CauseKind.PROMPT_PART)
                .isPresent();
    }

    /** Records that the request is being sent. */
    void sent() {
        context.quarantine().sent(record.features(), context.nowMillis());
    }

    /** Records that the response failed at the endpoint. */
    void responseFailed(ServiceEndpoint endpoint) {
        failedAt.add(endpoint.id());
    }

    /** Records that the request was answered and its endpoint is alive, which shows that the request is harmless. */
    void responseCompleted() {
        context.quarantine()
                .answered(record.features().request(), record.terms().service(), context.nowMillis());
    }

    private QuarantineDecision decide() {
        return context.quarantine().decide(record.features(), record.terms().service(), context.nowMillis());
    }
}
