package org.radishpass.standin.engine;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpass.core.cache.PromptBlocks;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.http.Shutdown;
import org.radishpass.standin.platform.WeightStoreStandIn;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Stand-in for a model engine. Simulates prefill and decode times, prefix caching and failures.
 *
 * @since 0.1.0
 */
public final class EngineStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String ATTEMPT = "X-Attempt";
    private static final double FULL_BATCH_SLOWDOWN = 0.5;

    private final AtomicLong statusSequence = new AtomicLong();
    private final String id;
    private final String incarnation;
    private final EngineSettings settings;
    private final Batch batch;
    private final CacheEvents events;
    private final PrefixCache cache;
    private final EngineOrders orders;
    private final EngineAudit audit = new EngineAudit();
    private final Random random;
    private final DisposableServer server;
    private volatile EngineFaults faults = EngineFaults.NONE;

    /**
     * Starts an engine that listens on a free local port.
     *
     * @param id the engine's identifier
     * @param incarnation the identifier of this start of the engine
     * @param settings the engine's settings
     * @param runtime the HTTP event loops
     * @param weights the store from which model weights are loaded
     * @param seed the seed of the random generators
     */
    public EngineStandIn(
            String id,
            String incarnation,
            EngineSettings settings,
            HttpRuntime runtime,
            WeightStoreStandIn weights,
            long seed) {
        this.id = id;
        this.incarnation = incarnation;
        this.settings = settings;
        this.batch = new Batch(
                settings.capacity(),
                Duration.ofMillis(settings.reportLagMillis()).toNanos());
        this.events = new CacheEvents(seed);
        this.cache = new PrefixCache(settings.cacheBlocks(), events);
        this.orders = new EngineOrders(settings.rejectsStaleOrders(), weights, cache);
        this.random = new Random(seed);
        this.server = runtime.server("127.0.0.1", 0).route(this::addRoutes).bindNow();
    }

    /** Returns the engine's identifier. */
    public String id() {
        return id;
    }

    /** Returns the identifier of this start of the engine. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns the port on which the engine listens. */
    public int port() {
        return server.port();
    }

    /** Returns the number of requests that are running now. */
    public int running() {
        return batch.running();
    }

    /** Returns whether the engine is ready, is not down and has loaded at least one pool's model. */
    public boolean serving() {
        return "READY".equals(orders.state())
                && !faults.down()
                && !orders.pools().isEmpty();
    }

    /** Returns the counts of the requests and tokens that the engine processed. */
    public EngineAudit audit() {
        return audit;
    }

    /** Returns all orders that the engine received, in order of arrival, with whether each was accepted. */
    public List<Map<String, Object>> orders() {
        return orders.receivedOrders();
    }

    /**
     * Replaces the injected faults.
     *
     * @param newFaults the faults to inject from now on
     */
    public void faults(EngineFaults newFaults) {
        this.faults = newFaults;
    }

    @Override
    public void close() {
        Shutdown.stop(server, "the server of the engine stand-in", Duration.ofSeconds(1));
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.post("/v1/chat/completions", withFaults(this::handleChat))
                .get("/v1/status", withFaults((request, response) -> HttpJson.send(response, OK, status())))
                .post("/v1/orders", withFaults(this::handleOrder))
                .get("/v1/cache-events", withFaults(this::sendCacheEvents))
                .get("/v1/kv", withFaults((request, response) -> HttpJson.send(response, OK, cache.export())))
                .post("/v1/kv", withFaults(this::importCache));
    }

    private java.util.function.BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> withFaults(
            java.util.function.BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
        return (request, response) -> {
            if (faults.down()) {
                response.withConnection(connection -> connection.dispose());
                return Mono.never();
            }
            return faults.frozen() ? Mono.never() : handler.apply(request, response);
        };
    }

    private Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("incarnation", incarnation);
        status.put("sequence", statusSequence.incrementAndGet());
        status.put("state", orders.state());
        status.put("pools", orders.pools());
        status.put("role", orders.role());
        status.put("running", batch.reportedRunning(System.nanoTime()));
        status.put("queued", batch.queued());
        status.put("capacity", settings.capacity());
        return status;
    }

    private Publisher<Void> handleOrder(HttpServerRequest request, HttpServerResponse response) {
        return HttpJson.read(request)
                .flatMap(orders::execute)
                .flatMap(code -> Mono.from(HttpJson.send(response, code, Map.of("status", code))));
    }

    private Publisher<Void> sendCacheEvents(HttpServerRequest request, HttpServerResponse response) {
        int parameterStart = request.uri().indexOf("after=");
        long afterSequence =
                parameterStart < 0 ? 0 : Long.parseLong(request.uri().substring(parameterStart + "after=".length()));
        return HttpJson.send(response, OK, events.eventsAfter(afterSequence, System.nanoTime()));
    }

    private Publisher<Void> importCache(HttpServerRequest request, HttpServerResponse response) {
        return HttpJson.read(request).flatMap(json -> {
            List<Long> blocks = new java.util.ArrayList<>();
            json.forEach(block -> blocks.add(block.asLong()));
            cache.add(blocks);
            return Mono.from(HttpJson.send(response, OK, Map.of("imported", blocks.size())));
        });
    }

    private Publisher<Void> handleChat(HttpServerRequest request, HttpServerResponse response) {
        String requestId = String.valueOf(request.requestHeaders().get(REQUEST_ID));
        boolean mismatched = random.nextDouble() < faults.mismatchedIdProbability();
        response.header(REQUEST_ID, mismatched ? requestId + "-other" : requestId);
        response.header(ATTEMPT, String.valueOf(request.requestHeaders().get(ATTEMPT)));
        int priority = request.requestHeaders().getInt("X-Priority", 0);
        int resumeFrom = request.requestHeaders().getInt("X-Resume-From", 0);
        return HttpJson.read(request).flatMap(body -> {
            if (faults.declining() || !"READY".equals(orders.state())) {
                return decline(response);
            }
            return batch.acquireSlot(priority)
                    .map(acquired -> generateAnswer(Prompt.parse(body), resumeFrom, response))
                    .switchIfEmpty(Mono.fromCallable(() -> decline(response)))
                    .flatMap(answer -> answer);
        });
    }

    private static Mono<Void> decline(HttpServerResponse response) {
        response.header("X-Not-Run", "true");
        return Mono.from(HttpJson.send(response, UNAVAILABLE, Map.of("error", "declined")));
    }

    private Mono<Void> generateAnswer(Prompt prompt, int resumeFrom, HttpServerResponse response) {
        int cachedTokens =
                Math.min(prompt.tokens(), cache.cachedPrefixBlocks(prompt.blockHashes()) * PromptBlocks.BLOCK_TOKENS);
        cache.add(prompt.blockHashes());
        audit.started(prompt.tokens(), cachedTokens);
        AtomicBoolean slotReleased = new AtomicBoolean();
        Duration prefill =
                Duration.ofNanos((long) (prompt.tokens() - cachedTokens) * settings.prefillMicrosPerToken() * 1_000L);
        Flux<String> tokens = Flux.range(resumeFrom, Math.max(0, prompt.maxTokens() - resumeFrom))
                .concatMap(index -> Mono.delay(index == resumeFrom ? prefill.plus(decodeInterval()) : decodeInterval())
                        .map(tick -> prompt.answerToken(index)));
        Mono<Void> answer = prompt.streamed()
                ? sendStream(prompt, cachedTokens, resumeFrom, tokens, response)
                : sendCompletion(prompt, cachedTokens, tokens, response);
        return answer.doOnSuccess(done -> audit.finished())
                .doOnCancel(audit::cancelled)
                .doFinally(signal -> {
                    if (slotReleased.compareAndSet(false, true)) {
                        batch.releaseSlot();
                    }
                });
    }

    private Duration decodeInterval() {
        double batchShare = (double) batch.running() / settings.capacity();
        return Duration.ofNanos(
                (long) (settings.decodeMicrosPerToken() * 1_000L * (1 + FULL_BATCH_SLOWDOWN * batchShare)));
    }

    private Mono<Void> sendStream(
            Prompt prompt, int cachedTokens, int resumeFrom, Flux<String> tokens, HttpServerResponse response) {
        response.header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        boolean cut = random.nextDouble() < faults.cutStreamProbability();
        Flux<String> events = tokens.index()
                .map(token -> tokenEvent(resumeFrom + token.getT1(), token.getT2()))
                .concatWith(Flux.just(usageEvent(prompt, cachedTokens), "data: [DONE]\n\n"));
        if (cut) {
            events = events.take(Math.max(1, prompt.maxTokens() / 2)).concatWith(Mono.defer(() -> {
                response.withConnection(connection -> connection.dispose());
                return Mono.never();
            }));
        }
        Flux<String> eventsUntilDown = events.handle((event, sink) -> {
            if (faults.down()) {
                sink.error(new IllegalStateException("the engine is down"));
            } else {
                sink.next(event);
            }
        });
        return response.send(
                        eventsUntilDown
                                .filterWhen(event -> faults.frozen() ? Mono.never() : Mono.just(true))
                                .map(event -> Unpooled.wrappedBuffer(event.getBytes(StandardCharsets.UTF_8))),
                        buffer -> true)
                .then();
    }

    private Mono<Void> sendCompletion(
            Prompt prompt, int cachedTokens, Flux<String> tokens, HttpServerResponse response) {
        return tokens.collect(StringBuilder::new, StringBuilder::append).flatMap(text -> {
            Map<String, Object> message = Map.of("role", "assistant", "content", text.toString());
            Map<String, Object> answer = new LinkedHashMap<>();
            answer.put("object", "chat.completion");
            answer.put("choices", List.of(Map.of("index", 0, "message", message, "finish_reason", "stop")));
            answer.put("usage", usageCounts(prompt, cachedTokens));
            return Mono.from(HttpJson.send(response, OK, answer));
        });
    }

    private static String tokenEvent(long index, String token) {
        return "id: " + index + "\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
                + "\"delta\":{\"content\":\"" + token + "\"},\"finish_reason\":null}]}\n\n";
    }

    private static String usageEvent(Prompt prompt, int cachedTokens) {
        String counts = new String(HttpJson.serialize(usageCounts(prompt, cachedTokens)), StandardCharsets.UTF_8);
        return "id: " + prompt.maxTokens() + "\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[],"
                + "\"usage\":" + counts + "}\n\n";
    }

    private static Map<String, Object> usageCounts(Prompt prompt, int cachedTokens) {
        Map<String, Object> usage = new LinkedHashMap<>();
        usage.put("prompt_tokens", prompt.tokens());
        usage.put("completion_tokens", prompt.maxTokens());
        usage.put("prompt_tokens_details", Map.of("cached_tokens", cachedTokens));
        return usage;
    }
}
