package org.radishpass.load.internal.drive;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.radishpass.runtime.http.HttpJson;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Sends requests as callers do. Starts with a random router and retries through the next router if a request fails.
 *
 * @since 0.1.0
 */
final class Caller {
    private static final String AFFINITY_HEADER = "X-Radishpass-Affinity";
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int MAX_ATTEMPTS = 8;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final ConcurrentHashMap<String, String> affinityTokenByChat = new ConcurrentHashMap<>();
    private final HttpClient client;
    private final List<String> routers;
    private final boolean retriesCutStreams;
    private final Random random;

    Caller(HttpClient client, List<String> routers, boolean retriesCutStreams, long seed) {
        this.retriesCutStreams = retriesCutStreams;
        this.client = client;
        this.routers = routers;
        this.random = new Random(seed);
    }

    /** Sends a request, with retries, and returns the final result. Times count from when the request was due. */
    Mono<RequestResult> send(Arrival arrival, long dueNanos) {
        return attempt(arrival, dueNanos, randomRouter(), 1, new AttemptSummary());
    }

    private synchronized int randomRouter() {
        return random.nextInt(routers.size());
    }

    private Mono<RequestResult> attempt(
            Arrival arrival, long dueNanos, int router, int attemptNumber, AttemptSummary summary) {
        String address = routers.get(router % routers.size());
        Mono<RequestResult> attempted = arrival.workload().placesOrders()
                ? sendOrder(arrival, dueNanos, address, attemptNumber)
                : sendChat(arrival, dueNanos, address, attemptNumber);
        return attempted.flatMap(result -> {
            summary.add(result);
            if (!shouldRetry(result) || attemptNumber >= MAX_ATTEMPTS) {
                return Mono.just(summary.finalResult(result));
            }
            return Mono.delay(RETRY_DELAY)
                    .flatMap(tick -> attempt(arrival, dueNanos, router + 1, attemptNumber + 1, summary));
        });
    }

    private boolean shouldRetry(RequestResult result) {
        boolean order = result.arrival().workload().placesOrders();
        return switch (result.outcome()) {
            case LOST -> true;
            case REFUSED -> order || "NOT_READY".equals(result.code()) || "NO_ENDPOINT".equals(result.code());
            case CUT -> retriesCutStreams;
            case ANSWERED, CROSSED -> false;
        };
    }

    private Mono<RequestResult> sendChat(Arrival arrival, long dueNanos, String router, int attemptNumber) {
        AnswerCheck check = new AnswerCheck(arrival.nonce(), arrival.workload().answerTokens());
        AtomicLong firstPartNanos = new AtomicLong();
        AtomicBoolean accepted = new AtomicBoolean();
        Refusal refusal = new Refusal();
        return request(arrival, router + "/v1/chat/completions")
                .response((response, content) -> {
                    if (response.status().code() != OK) {
                        return content.aggregate()
                                .asByteArray()
                                .doOnNext(refusal::read)
                                .then();
                    }
                    accepted.set(true);
                    String token = response.responseHeaders().get(AFFINITY_HEADER);
                    if (token != null) {
                        affinityTokenByChat.put(arrival.chatOrOrderId(), token);
                    }
                    if (!arrival.workload().streamsAnswers()) {
                        return content.aggregate()
                                .asString(StandardCharsets.UTF_8)
                                .doOnNext(check::acceptBody)
                                .then();
                    }
                    return content.asString(StandardCharsets.UTF_8)
                            .doOnNext(part -> {
                                check.acceptChunk(part);
                                firstPartNanos.compareAndSet(0, System.nanoTime() - dueNanos);
                            })
                            .then();
                })
                .then()
                .timeout(REQUEST_TIMEOUT)
                .onErrorComplete()
                .then(Mono.fromCallable(() -> {
                    long totalNanos = System.nanoTime() - dueNanos;
                    long firstTokenNanos = firstPartNanos.get() == 0 ? totalNanos : firstPartNanos.get();
                    return new RequestResult(
                            arrival,
                            outcome(check, accepted.get(), refusal),
                            refusal.verdict,
                            refusal.code,
                            attemptNumber,
                            firstTokenNanos,
                            totalNanos,
                            check.duplicateTokens());
                }));
    }

    private static RequestResult.Outcome outcome(AnswerCheck check, boolean accepted, Refusal refusal) {
        if (refusal.code != null) {
            return RequestResult.Outcome.REFUSED;
        }
        if (check.crossed()) {
            return RequestResult.Outcome.CROSSED;
        }
        if (check.complete()) {
            return RequestResult.Outcome.ANSWERED;
        }
        return accepted ? RequestResult.Outcome.CUT : RequestResult.Outcome.LOST;
    }

    private Mono<RequestResult> sendOrder(Arrival arrival, long dueNanos, String router, int attemptNumber) {
        String address = router + "/services/" + arrival.workload().service() + "/orders";
        return request(arrival, address)
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(body -> orderResult(arrival, dueNanos, attemptNumber, response, body)))
                .timeout(REQUEST_TIMEOUT)
                .onErrorResume(error ->
                        Mono.just(result(arrival, RequestResult.Outcome.LOST, new Refusal(), attemptNumber, dueNanos)));
    }

    private static RequestResult orderResult(
            Arrival arrival, long dueNanos, int attemptNumber, HttpClientResponse response, byte[] body) {
        Refusal refusal = new Refusal();
        if (response.status().code() != CREATED) {
            refusal.read(body);
            return result(arrival, RequestResult.Outcome.REFUSED, refusal, attemptNumber, dueNanos);
        }
        boolean matches = HttpJson.parse(body).path("number").asText().equals(arrival.chatOrOrderId());
        RequestResult.Outcome outcome = matches ? RequestResult.Outcome.ANSWERED : RequestResult.Outcome.CROSSED;
        return result(arrival, outcome, refusal, attemptNumber, dueNanos);
    }

    private static RequestResult result(
            Arrival arrival, RequestResult.Outcome outcome, Refusal refusal, int attemptNumber, long dueNanos) {
        long totalNanos = System.nanoTime() - dueNanos;
        return new RequestResult(
                arrival, outcome, refusal.verdict, refusal.code, attemptNumber, totalNanos, totalNanos, 0);
    }

    private HttpClient.ResponseReceiver<?> request(Arrival arrival, String address) {
        return client.headers(headers -> {
                    String workspace = arrival.workload().workspace();
                    headers.set("Authorization", "Bearer " + workspace + ".demo-key-" + workspace);
                    headers.set("Content-Type", "application/json");
                    if (arrival.workload().placesOrders()) {
                        headers.set("Idempotency-Key", arrival.chatOrOrderId());
                    } else {
                        headers.set("X-Chat-Id", arrival.chatOrOrderId());
                        String token = arrival.workload().sendsAffinityToken()
                                ? affinityTokenByChat.get(arrival.chatOrOrderId())
                                : null;
                        if (token != null) {
                            headers.set(AFFINITY_HEADER, token);
                        }
                    }
                })
                .post()
                .uri(address)
                .send(ByteBufMono.fromString(Mono.just(arrival.body())));
    }

    /** The code and verdict of a refusal. */
    private static final class Refusal {
        private @Nullable String code;
        private @Nullable String verdict;

        private void read(byte[] body) {
            JsonNode error = parse(body).path("error");
            code = error.path("code").asText("UNKNOWN");
            verdict = error.path("verdict").asText("MAY_HAVE_RUN");
        }

        private static JsonNode parse(byte[] body) {
            try {
                return HttpJson.parse(body);
            } catch (java.io.UncheckedIOException e) {
                return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
            }
        }
    }

    /** Combines the results of all attempts at one request. */
    private static final class AttemptSummary {
        private boolean onlyNotRun = true;
        private @Nullable RequestResult lastRefusal;

        private void add(RequestResult result) {
            boolean refused = result.outcome() == RequestResult.Outcome.REFUSED;
            onlyNotRun &= refused && "NOT_RUN".equals(result.verdict());
            lastRefusal = refused ? result : lastRefusal;
        }

        /**
         * Returns the result of the whole request. If the last attempt was refused or lost and any attempt may have run,
         * the result is the last refusal, with the verdict that the request may have run.
         */
        private RequestResult finalResult(RequestResult result) {
            boolean unanswered =
                    result.outcome() == RequestResult.Outcome.REFUSED || result.outcome() == RequestResult.Outcome.LOST;
            RequestResult refusal = lastRefusal;
            if (!unanswered || onlyNotRun || refusal == null) {
                return result;
            }
            return new RequestResult(
                    result.arrival(),
                    RequestResult.Outcome.REFUSED,
                    "MAY_HAVE_RUN",
                    refusal.code(),
                    result.attempts(),
                    result.firstTokenNanos(),
                    result.totalNanos(),
                    result.duplicateTokens());
        }
    }
}
