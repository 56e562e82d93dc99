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
 * Sends requests as callers do: through any router, and through another when one gives no answer.
 *
 * @since 0.1.0
 */
final class Caller {
    private static final String AFFINITY = "X-Radishpass-Affinity";
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int MOST_TRIES = 8;
    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final Duration PAUSE = Duration.ofMillis(250);

    private final ConcurrentHashMap<String, String> affinity = new ConcurrentHashMap<>();
    private final HttpClient client;
    private final List<String> routers;
    private final boolean asksAgain;
    private final Random random;

    Caller(HttpClient client, List<String> routers, boolean asksAgain, long seed) {
        this.asksAgain = asksAgain;
        this.client = client;
        this.routers = routers;
        this.random = new Random(seed);
    }

    /** Sends a request and returns what came of it. */
    Mono<Result> send(Arrival arrival, long dueNanos) {
        return attempt(arrival, dueNanos, nextStart(), 1, new Tally());
    }

    private synchronized int nextStart() {
        return random.nextInt(routers.size());
    }

    private Mono<Result> attempt(Arrival arrival, long dueNanos, int router, int number, Tally tally) {
        String address = routers.get(router % routers.size());
        Mono<Result> sent = arrival.workload().orders()
                ? order(arrival, dueNanos, address, number)
                : chat(arrival, dueNanos, address, number);
        return sent.flatMap(result -> {
            tally.note(result);
            if (!again(result) || number >= MOST_TRIES) {
                return Mono.just(tally.last(result));
            }
            return Mono.delay(PAUSE).flatMap(tick -> attempt(arrival, dueNanos, router + 1, number + 1, tally));
        });
    }

    private boolean again(Result result) {
        boolean order = result.arrival().workload().orders();
        return switch (result.outcome()) {
            case LOST -> true;
            case REFUSED -> order || "NOT_READY".equals(result.code()) || "NO_ENDPOINT".equals(result.code());
            case CUT -> asksAgain;
            case ANSWERED, CROSSED -> false;
        };
    }

    private Mono<Result> chat(Arrival arrival, long dueNanos, String router, int number) {
        AnswerCheck check = new AnswerCheck(arrival.nonce(), arrival.workload().answerTokens());
        AtomicLong first = new AtomicLong();
        AtomicBoolean accepted = new AtomicBoolean();
        Refused refused = new Refused();
        return request(arrival, router + "/v1/chat/completions")
                .response((response, content) -> {
                    if (response.status().code() != OK) {
                        return content.aggregate()
                                .asByteArray()
                                .doOnNext(refused::read)
                                .then();
                    }
                    accepted.set(true);
                    String token = response.responseHeaders().get(AFFINITY);
                    if (token != null) {
                        affinity.put(arrival.chat(), token);
                    }
                    if (!arrival.workload().streams()) {
                        return content.aggregate()
                                .asString(StandardCharsets.UTF_8)
                                .doOnNext(check::whole)
                                .then();
                    }
                    return content.asString(StandardCharsets.UTF_8)
                            .doOnNext(part -> {
                                check.stream(part);
                                first.compareAndSet(0, System.nanoTime() - dueNanos);
                            })
                            .then();
                })
                .then()
                .timeout(PATIENCE)
                .onErrorComplete()
                .then(Mono.fromCallable(() -> {
                    long done = System.nanoTime() - dueNanos;
                    long firstToken = first.get() == 0 ? done : first.get();
                    return new Result(
                            arrival,
                            outcome(check, accepted.get(), refused),
                            refused.verdict,
                            refused.code,
                            number,
                            firstToken,
                            done,
                            check.doubled());
                }));
    }

    private static Result.Outcome outcome(AnswerCheck check, boolean accepted, Refused refused) {
        if (refused.code != null) {
            return Result.Outcome.REFUSED;
        }
        if (check.crossed()) {
            return Result.Outcome.CROSSED;
        }
        if (check.whole()) {
            return Result.Outcome.ANSWERED;
        }
        return accepted ? Result.Outcome.CUT : Result.Outcome.LOST;
    }

    private Mono<Result> order(Arrival arrival, long dueNanos, String router, int number) {
        String address = router + "/services/" + arrival.workload().service() + "/orders";
        return request(arrival, address)
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(body -> placed(arrival, dueNanos, number, response, body)))
                .timeout(PATIENCE)
                .onErrorResume(
                        error -> Mono.just(result(arrival, Result.Outcome.LOST, new Refused(), number, dueNanos)));
    }

    private static Result placed(Arrival arrival, long dueNanos, int number, HttpClientResponse response, byte[] body) {
        Refused refused = new Refused();
        if (response.status().code() != CREATED) {
            refused.read(body);
            return result(arrival, Result.Outcome.REFUSED, refused, number, dueNanos);
        }
        boolean own = HttpJson.parse(body).path("number").asText().equals(arrival.chat());
        Result.Outcome outcome = own ? Result.Outcome.ANSWERED : Result.Outcome.CROSSED;
        return result(arrival, outcome, refused, number, dueNanos);
    }

    private static Result result(Arrival arrival, Result.Outcome outcome, Refused refused, int number, long dueNanos) {
        long done = System.nanoTime() - dueNanos;
        return new Result(arrival, outcome, refused.verdict, refused.code, number, done, done, 0);
    }

    private HttpClient.ResponseReceiver<?> request(Arrival arrival, String address) {
        return client.headers(headers -> {
                    String workspace = arrival.workload().workspace();
                    headers.set("Authorization", "Bearer " + workspace + ".demo-key-" + workspace);
                    headers.set("Content-Type", "application/json");
                    if (arrival.workload().orders()) {
                        headers.set("Idempotency-Key", arrival.chat());
                    } else {
                        headers.set("X-Chat-Id", arrival.chat());
                        String token = arrival.workload().bringsAffinity() ? affinity.get(arrival.chat()) : null;
                        if (token != null) {
                            headers.set(AFFINITY, token);
                        }
                    }
                })
                .post()
                .uri(address)
                .send(ByteBufMono.fromString(Mono.just(arrival.body())));
    }

    /** What a refusal said. */
    private static final class Refused {
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

    /** What all tries of one request say together. */
    private static final class Tally {
        private boolean onlyNotRun = true;
        private @Nullable Result lastRefusal;

        private void note(Result result) {
            boolean refused = result.outcome() == Result.Outcome.REFUSED;
            onlyNotRun &= refused && "NOT_RUN".equals(result.verdict());
            lastRefusal = refused ? result : lastRefusal;
        }

        /** A caller that was refused and then reached nobody has its refusal, but cannot know that nothing ran. */
        private Result last(Result result) {
            boolean open = result.outcome() == Result.Outcome.REFUSED || result.outcome() == Result.Outcome.LOST;
            Result refusal = lastRefusal;
            if (!open || onlyNotRun || refusal == null) {
                return result;
            }
            return new Result(
                    result.arrival(),
                    Result.Outcome.REFUSED,
                    "MAY_HAVE_RUN",
                    refusal.code(),
                    result.tries(),
                    result.firstTokenNanos(),
                    result.doneNanos(),
                    result.doubledTokens());
        }
    }
}
