package org.radishpass.routing.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.relay.RelayHeaders;

/**
 * Ends a request without a response from an endpoint. A refusal that promises that the request was not run is sent
 * only while the verdict is {@link Verdict#NOT_RUN}. A response that has started is aborted.
 */
final class ExchangeRefusal {
    private final TrafficContext context;
    private final CallerConnection caller;
    private final ExchangeRecord record;
    private final SendHistory history;
    private final Runnable end;

    /**
     * Creates the refusals of one request.
     *
     * @param context the shared state of the traffic event loop
     * @param caller the connection of the caller
     * @param record the log record of the request
     * @param history the previous sends of the request
     * @param end ends the request; called before the caller is answered
     */
    ExchangeRefusal(
            TrafficContext context, CallerConnection caller, ExchangeRecord record, SendHistory history, Runnable end) {
        this.context = context;
        this.caller = caller;
        this.record = record;
        this.history = history;
        this.end = end;
    }

    /**
     * Gives up the request without a further attempt.
     *
     * @param code the reason
     * @param detail a sentence that describes the reason
     * @param responseStarted whether a part of the response has been sent to the caller
     */
    void giveUp(RefusalCode code, String detail, boolean responseStarted) {
        if (responseStarted) {
            record.finished(Verdict.RAN, 0, "broken off: " + detail);
            end.run();
            caller.abort();
            return;
        }
        if (history.notRun()) {
            RefusalCode accurateCode = code == RefusalCode.ENDPOINT_FAILED ? RefusalCode.NO_ENDPOINT : code;
            refuse(accurateCode, detail, retryAfter(accurateCode));
            return;
        }
        refuse(code == RefusalCode.DEADLINE ? code : RefusalCode.ENDPOINT_FAILED, detail, null);
    }

    private @Nullable String retryAfter(RefusalCode code) {
        if (code == RefusalCode.OVERLOADED) {
            RequestTerms terms = record.terms();
            String workspace = terms.workspace().map(Workspace::name).orElse("");
            OptionalLong untilMillis =
                    context.capacityForecast().millisUntilCapacity(terms.service(), terms.urgency(), workspace);
            if (untilMillis.isPresent()) {
                return RetryDelay.header(untilMillis.getAsLong(), terms.remainingMillis(context.nowMillis()));
            }
        }
        if (code == RefusalCode.QUARANTINED) {
            return RetryDelay.quarantineHeader(record.quarantinedUntilMillis() - context.nowMillis());
        }
        if (code == RefusalCode.NOT_READY) { // this router is stopping
            return RetryDelay.OTHER_ROUTER.header();
        }
        return RetryDelay.of(code).header();
    }

    /**
     * Refuses the request because every endpoint that could run it is in backoff.
     *
     * @param endMillis when the first backoff ends, on the monotonic clock in milliseconds
     */
    void refuseInBackoff(long endMillis) {
        refuse(
                RefusalCode.OVERLOADED,
                "every endpoint that could run it is in backoff",
                RetryDelay.header(endMillis - context.nowMillis()));
    }

    /**
     * Refuses the request.
     *
     * @param code the reason
     * @param detail a sentence that describes the reason
     * @param retryAfter the value of the Retry-After header, or null for no such header
     */
    void refuse(RefusalCode code, String detail, @Nullable String retryAfter) {
        record.finished(history.verdict(), code.status(), detail);
        end.run();
        caller.respond(
                HttpResponseStatus.valueOf(code.status()),
                Refusals.body(caller.allocator(), code.status(), detail),
                retryAfter,
                this::addRelayHeaders);
    }

    private void addRelayHeaders(HttpHeaders headers) {
        if (!record.relayedFor().isEmpty()) {
            RelayHeaders.encodeEndpointSends(history.sends(), headers);
        }
    }
}
