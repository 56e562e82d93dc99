package org.radishpass.router.internal.endpoint;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.radishpass.core.outcome.Verdict;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.NettyOutbound;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Sends attempts to endpoints and validates the responses.
 *
 * <p>A response is accepted only if its headers return the request's id and the attempt's number. Every failure is an
 * {@link AttemptFailure}. Its verdict is {@code NOT_RUN} only if no part of the request was written to the socket, or
 * if the endpoint's response states that the request did not run.
 *
 * @since 0.1.0
 */
public final class EndpointClient {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration NEXT_EVENT_TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client;
    private final Clock clock;
    private final Mono<Void> routerEnd;

    /**
     * Creates a client.
     *
     * @param client the HTTP client, which must not resend requests on its own
     * @param clock the source of the current time
     */
    public EndpointClient(HttpClient client, Clock clock) {
        this(client, clock, Mono.never());
    }

    /**
     * Creates a client whose attempts end with the router.
     *
     * @param client the HTTP client, which must not resend requests on its own
     * @param clock the source of the current time
     * @param routerEnd completes when the router ends; attempts in progress fail then
     * @since 0.12.0
     */
    public EndpointClient(HttpClient client, Clock clock, Mono<Void> routerEnd) {
        this.client = client;
        this.clock = clock;
        this.routerEnd = routerEnd.then(
                Mono.error(() -> new AttemptFailure(Verdict.MAY_HAVE_RUN, "the router stopped before the response")));
    }

    /**
     * Sends an attempt and returns the events of the response as they arrive. The last event is the end marker.
     *
     * @param attempt the attempt to send
     */
    public Flux<SseEvent> stream(Attempt attempt) {
        AtomicBoolean sent = new AtomicBoolean();
        SseFramer framer = new SseFramer();
        return request(attempt, sent)
                .response((response, content) -> {
                    requireMatchingIds(attempt, response);
                    if (response.status().code() != OK) {
                        return statusFailure(response, content);
                    }
                    return content.asByteArray().concatMapIterable(framer::accept);
                })
                .transform(EndpointClient::requireEndMarker)
                .takeUntilOther(routerEnd)
                .onErrorMap(error -> toAttemptFailure(error, sent));
    }

    /**
     * Sends an attempt and returns the complete response.
     *
     * @param attempt the attempt to send
     */
    public Mono<CompleteResponse> call(Attempt attempt) {
        AtomicBoolean sent = new AtomicBoolean();
        return request(attempt, sent)
                .responseSingle((response, content) -> {
                    requireMatchingIds(attempt, response);
                    if (endpointDeclined(response.responseHeaders())) {
                        return Mono.error(declinedFailure(response));
                    }
                    String type = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE);
                    return content.asByteArray()
                            .defaultIfEmpty(new byte[0])
                            .map(body -> new CompleteResponse(response.status().code(), type, body));
                })
                .timeout(Duration.between(clock.instant(), attempt.deadline()))
                .takeUntilOther(routerEnd)
                .onErrorMap(error -> toAttemptFailure(error, sent));
    }

    private static Flux<SseEvent> requireEndMarker(Flux<SseEvent> events) {
        AtomicBoolean ended = new AtomicBoolean();
        Flux<SseEvent> missingEndMarker =
                Flux.error(() -> new AttemptFailure(Verdict.MAY_HAVE_RUN, "the stream ended without its mark"));
        return events.timeout(Mono.delay(FIRST_EVENT_TIMEOUT), event -> Mono.delay(NEXT_EVENT_TIMEOUT))
                .takeWhile(event -> !ended.get())
                .doOnNext(event -> ended.set(event.endMarker()))
                .onErrorResume(error -> ended.get() ? Flux.empty() : Flux.error(error))
                .concatWith(Flux.defer(() -> ended.get() ? Flux.empty() : missingEndMarker));
    }

    private HttpClient.ResponseReceiver<?> request(Attempt attempt, AtomicBoolean sent) {
        return client.headers(headers -> setHeaders(headers, attempt))
                .request(HttpMethod.valueOf(attempt.method()))
                .uri("http://" + attempt.endpoint().address() + attempt.path())
                .send((request, outbound) -> write(attempt, sent, request, outbound));
    }

    private Publisher<Void> write(
            Attempt attempt, AtomicBoolean sent, HttpClientRequest request, NettyOutbound outbound) {
        if (!clock.instant().isBefore(attempt.deadline())) {
            return Mono.error(new AttemptFailure(Verdict.NOT_RUN, "the deadline passed before it was sent"));
        }
        sent.set(true);
        request.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(attempt.body().length));
        return outbound.sendByteArray(Mono.just(attempt.body()));
    }

    private void setHeaders(HttpHeaders headers, Attempt attempt) {
        headers.set(HeaderNames.REQUEST_ID, attempt.requestId());
        headers.set(HeaderNames.ATTEMPT, attempt.number());
        headers.set(HeaderNames.PRIORITY, attempt.priority().enginePriority());
        headers.set(
                HeaderNames.DEADLINE,
                Duration.between(clock.instant(), attempt.deadline()).toMillis());
        if (attempt.resumeFrom() > 0) {
            headers.set(HeaderNames.RESUME_FROM, attempt.resumeFrom());
        }
        if (attempt.contentType() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, attempt.contentType());
        }
    }

    private static void requireMatchingIds(Attempt attempt, HttpClientResponse response) {
        HttpHeaders headers = response.responseHeaders();
        boolean sameRequest = attempt.requestId().equals(headers.get(HeaderNames.REQUEST_ID));
        boolean sameAttempt = Integer.toString(attempt.number()).equals(headers.get(HeaderNames.ATTEMPT));
        if (!sameRequest || !sameAttempt) {
            throw new AttemptFailure(Verdict.MAY_HAVE_RUN, "the answer names another request or attempt");
        }
    }

    private static boolean endpointDeclined(HttpHeaders headers) {
        return Boolean.parseBoolean(headers.get(HeaderNames.NOT_RUN));
    }

    private static AttemptFailure declinedFailure(HttpClientResponse response) {
        return new AttemptFailure(
                Verdict.NOT_RUN,
                "the endpoint declined with status " + response.status().code());
    }

    private static Flux<SseEvent> statusFailure(HttpClientResponse response, ByteBufFlux content) {
        if (endpointDeclined(response.responseHeaders())) {
            return Flux.error(declinedFailure(response));
        }
        int status = response.status().code();
        Verdict verdict = status < SERVER_ERROR ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
        return content.aggregate()
                .thenMany(Flux.error(new AttemptFailure(verdict, "the endpoint answered with status " + status)));
    }

    private static Throwable toAttemptFailure(Throwable error, AtomicBoolean sent) {
        if (error instanceof AttemptFailure) {
            return error;
        }
        Verdict verdict = sent.get() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return new AttemptFailure(verdict, String.valueOf(error));
    }
}
