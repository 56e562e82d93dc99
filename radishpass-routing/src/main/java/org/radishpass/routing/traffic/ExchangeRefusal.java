package org.radishpass.routing.traffic;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;

/**
 * Ends a request without an answer of an endpoint. A refusal that promises that the request has not run goes out only while its verdict is
 * {@link Verdict#NOT_RUN}; an answer that has begun is broken off.
 */
final class ExchangeRefusal {
    private final TrafficTools tools;
    private final CallerConnection caller;
    private final ExchangeRecord record;
    private final SendHistory history;
    private final Runnable end;

    /**
     * Creates the refusals of a request.
     *
     * @param tools the traffic thread's tools
     * @param caller who is answered
     * @param record the account of the request
     * @param history where it was sent
     * @param end ends the request; called before the caller is answered
     */
    ExchangeRefusal(
            TrafficTools tools, CallerConnection caller, ExchangeRecord record, SendHistory history, Runnable end) {
        this.tools = tools;
        this.caller = caller;
        this.record = record;
        this.history = history;
        this.end = end;
    }

    /**
     * Gives the request up: nothing more is tried.
     *
     * @param code why
     * @param detail one sentence for people
     * @param begun whether the caller has got a part of an answer
     */
    void giveUp(RefusalCode code, String detail, boolean begun) {
        if (begun) {
            record.finished(Verdict.RAN, 0, "broken off: " + detail);
            end.run();
            caller.abort();
            return;
        }
        if (history.notRun()) {
            RefusalCode truthful = code == RefusalCode.ENDPOINT_FAILED ? RefusalCode.NO_ENDPOINT : code;
            refuse(truthful, detail, RetryDelay.of(truthful).header());
            return;
        }
        refuse(code == RefusalCode.DEADLINE ? code : RefusalCode.ENDPOINT_FAILED, detail, null);
    }

    /**
     * Refuses a request that could be run by endpoints in backoff alone.
     *
     * @param endMillis when the first of them takes requests again, on the monotonic clock in milliseconds
     */
    void refuseInBackoff(long endMillis) {
        refuse(
                RefusalCode.OVERLOADED,
                "every endpoint that could run it is in backoff",
                RetryDelay.header(endMillis - tools.nowMillis()));
    }

    /**
     * Refuses the request.
     *
     * @param code why
     * @param detail one sentence for people
     * @param retryAfter the header that tells when to come back, or null
     */
    void refuse(RefusalCode code, String detail, @Nullable String retryAfter) {
        record.finished(history.verdict(), code.status(), detail);
        end.run();
        caller.answer(
                HttpResponseStatus.valueOf(code.status()),
                Refusals.body(caller.allocator(), code.status(), detail),
                retryAfter);
    }
}
