package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.admission.AdmissionRefusal;
import org.radishpass.routing.admission.AdmissionRequest;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.quarantine.PromptPartFingerprint;
import org.radishpass.routing.quarantine.RequestFeatures;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.relay.RelayedRequest;

/** A completely received request, which is resolved once for each configuration that it meets. */
final class PreparedRequest {
    private final TrafficContext context;
    private final RequestAssembly assembly;
    private final ExchangeRecord record;
    private @Nullable Resolution resolution;
    private long resolvedInForceSinceMillis;

    PreparedRequest(TrafficContext context, RequestAssembly assembly) {
        this.context = context;
        this.assembly = assembly;
        this.record = new ExchangeRecord(assembly.receivedAtMillis());
    }

    HttpRequest request() {
        return assembly.request();
    }

    /** Tells whether another router has relayed the request to this one. */
    boolean relayed() {
        return request() instanceof RelayedRequest;
    }

    /** Returns the features of the request that may crash endpoints, given its terms. */
    RequestFeatures features(RequestTerms terms) {
        RequestFingerprint fingerprint = RequestFingerprint.of(
                terms.workspace().map(Workspace::name).orElse(""),
                request().method().name(),
                terms.host(),
                request().uri(),
                body());
        PromptDescription prompt = terms.promptDescription();
        List<PromptPartFingerprint> parts = prompt == null
                ? List.of()
                : PromptPartFingerprint.sharedParts(fingerprint.workspace(), terms.service(), prompt);
        return new RequestFeatures(fingerprint, parts);
    }

    /** Returns the body, which the recipient must release. */
    ByteBuf body() {
        return assembly.body();
    }

    ExchangeRecord record() {
        return record;
    }

    /** Returns the resolution of the request by the configuration in force. */
    Resolution resolution() {
        Resolution current = resolution;
        if (current == null || outdated()) {
            RoutingView view = context.view();
            current = context.resolver().resolve(request(), view, record, context.nowMillis());
            resolvedInForceSinceMillis = view.inForceSinceMillis();
            resolution = current;
        }
        return current;
    }

    private boolean outdated() {
        RoutingView view = context.view();
        return view.inForceSinceMillis() != resolvedInForceSinceMillis
                || view.configuration()
                        .filter(configuration -> configuration.version() == record.configurationVersion())
                        .isEmpty();
    }

    /** Returns the properties that decide about admission; empty if the request is refused regardless of the load. */
    Optional<AdmissionRequest> admissionRequest() {
        if (!(resolution() instanceof Resolution.Resolved resolved)) {
            return Optional.empty();
        }
        RequestTerms terms = resolved.terms();
        AdmissionRequest.Times times = new AdmissionRequest.Times(
                record.receivedAtMillis(),
                terms.route().targetLatencyMillis(),
                SendDeadlines.usualMillis(context.responseTimes(), terms.route()),
                terms.deadlineMillis());
        String workspace = terms.workspace().map(Workspace::name).orElse("");
        return Optional.of(AdmissionRequest.of(terms.urgency(), workspace, times));
    }

    /** Records that the request is not admitted, and releases it. */
    void refused(AdmissionRefusal refusal) {
        if (resolution instanceof Resolution.Resolved resolved) {
            record.terms(resolved.terms(), RequestFeatures.UNKNOWN);
        }
        record.finished(
                Verdict.NOT_RUN,
                RefusalCode.OVERLOADED.status(),
                "not admitted: " + refusal.inputs(context.nowMillis()));
        context.requestLog().refused(record, refusal, context.nowMillis());
        assembly.release();
    }

    void release() {
        assembly.release();
    }
}
