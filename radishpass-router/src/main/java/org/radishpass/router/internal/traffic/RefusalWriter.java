package org.radishpass.router.internal.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.LinkedHashMap;
import java.util.Map;
import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.router.internal.endpoint.HeaderNames;
import org.radishpass.runtime.http.HttpJson;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes refusals as JSON, with their stable code and verdict and a {@code Retry-After} header.
 *
 * @since 0.1.0
 */
public final class RefusalWriter {
    private static final Logger LOG = LoggerFactory.getLogger(RefusalWriter.class);

    private final TrafficMetrics metrics;

    /**
     * Creates a writer.
     *
     * @param metrics counts the written refusals
     */
    public RefusalWriter(TrafficMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Returns the refusal that reports an error to the caller. Unexpected errors are logged.
     *
     * @param error the error that ended the request
     */
    public static Refusal refusalOf(Throwable error) {
        if (error instanceof RefusedException refused) {
            return refused.refusal();
        }
        LOG.error("a request failed with an unexpected error; the caller is told that the request may have run", error);
        return new Refusal(RefusalCode.ENDPOINT_FAILED, Verdict.MAY_HAVE_RUN, "the router failed");
    }

    /**
     * Sends a refusal as the response to a request.
     *
     * @param response the HTTP response to write
     * @param requestId the id of the request
     * @param refusal the refusal to write
     */
    public Publisher<Void> write(HttpServerResponse response, String requestId, Refusal refusal) {
        metrics.requestRefused(refusal);
        response.header(HeaderNames.REQUEST_ID, requestId);
        response.header(HeaderNames.VERDICT, refusal.verdict().name());
        int retryAfter = refusal.code().retryAfterSeconds();
        if (retryAfter > 0) {
            response.header(HttpHeaderNames.RETRY_AFTER, Integer.toString(retryAfter));
        }
        return HttpJson.send(response, refusal.code().status(), body(requestId, refusal));
    }

    /**
     * Returns the server-sent error event that ends a stream which failed after its first event.
     *
     * @param requestId the id of the request
     * @param refusal the reason for the failure
     */
    public byte[] errorEvent(String requestId, Refusal refusal) {
        metrics.requestRefused(refusal);
        byte[] json = HttpJson.serialize(body(requestId, refusal));
        String event = "event: error\ndata: " + new String(json, java.nio.charset.StandardCharsets.UTF_8) + "\n\n";
        return event.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    private static Map<String, Object> body(String requestId, Refusal refusal) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", refusal.code().name());
        error.put("message", refusal.detail());
        error.put("verdict", refusal.verdict().name());
        error.put("requestId", requestId);
        return Map.of("error", error);
    }
}
