package org.radishpass.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.http.Shutdown;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Stand-in for a plain service that places orders or bookings. Counts how often each order ran.
 *
 * @since 0.1.0
 */
public final class ServiceStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int UNAVAILABLE = 503;
    private static final int CAPACITY = 64;
    private static final long BASE_LATENCY_MILLIS = 20;
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String ATTEMPT = "X-Attempt";

    private final AtomicLong statusSequence = new AtomicLong();
    private final AtomicInteger running = new AtomicInteger();
    private final ConcurrentHashMap<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final String id;
    private final String incarnation;
    private final String pool;
    private final Random random;
    private final DisposableServer server;
    private volatile ServiceFaults faults = ServiceFaults.NONE;
    private volatile boolean leaving;

    /**
     * Starts a service that listens on a free local port.
     *
     * @param id the identifier of the service's runner
     * @param incarnation the identifier of this start of the runner
     * @param service the name of the service
     * @param runtime the HTTP event loops
     * @param seed the seed of the random generator
     */
    public ServiceStandIn(String id, String incarnation, String service, HttpRuntime runtime, long seed) {
        this.id = id;
        this.incarnation = incarnation;
        this.pool = "service/" + service;
        this.random = new Random(seed);
        this.server = runtime.server("127.0.0.1", 0).route(this::addRoutes).bindNow();
    }

    /** Returns the identifier of the service's runner. */
    public String id() {
        return id;
    }

    /** Returns the identifier of this start of the runner. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns the port on which the service listens. */
    public int port() {
        return server.port();
    }

    /** Returns how often each order ran, by the order number that the caller chose. */
    public Map<String, Integer> runs() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        runs.forEach((order, count) -> counts.put(order, count.get()));
        return counts;
    }

    /**
     * Replaces the injected faults.
     *
     * @param newFaults the faults to inject from now on
     */
    public void faults(ServiceFaults newFaults) {
        this.faults = newFaults;
    }

    /**
     * Sets whether the status reports that the runner is leaving.
     *
     * @param isLeaving whether the runner is leaving
     */
    public void leaving(boolean isLeaving) {
        this.leaving = isLeaving;
    }

    @Override
    public void close() {
        Shutdown.stop(server, "the server of the service stand-in", Duration.ofSeconds(1));
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.get("/v1/status", (request, response) -> HttpJson.send(response, OK, status()))
                .post("/orders", this::handlePlaceOrder)
                .get("/orders/{number}", this::handleReadOrder);
    }

    private Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("incarnation", incarnation);
        status.put("sequence", statusSequence.incrementAndGet());
        status.put("state", leaving ? "LEAVING" : "READY");
        status.put("pools", List.of(pool));
        status.put("running", running.get());
        status.put("capacity", CAPACITY);
        return status;
    }

    private Publisher<Void> handlePlaceOrder(HttpServerRequest request, HttpServerResponse response) {
        if (faults.down()) {
            response.withConnection(connection -> connection.dispose());
            return Mono.never();
        }
        echoRequestHeaders(request, response);
        if (faults.declining()) {
            response.header("X-Not-Run", "true");
            return HttpJson.send(response, UNAVAILABLE, Map.of("error", "declined"));
        }
        return HttpJson.read(request).flatMap(order -> executeOrder(order, response));
    }

    private Mono<Void> executeOrder(JsonNode order, HttpServerResponse response) {
        String number = order.path("number").asText();
        runs.computeIfAbsent(number, key -> new AtomicInteger()).incrementAndGet();
        running.incrementAndGet();
        boolean lost = random.nextDouble() < faults.lostResponseProbability();
        return Mono.delay(Duration.ofMillis(BASE_LATENCY_MILLIS + faults.delayMillis()))
                .flatMap(tick -> {
                    if (lost) {
                        response.withConnection(connection -> connection.dispose());
                        return Mono.<Void>never();
                    }
                    return Mono.from(HttpJson.send(response, CREATED, Map.of("number", number, "placedBy", id)));
                })
                .doFinally(signal -> running.decrementAndGet());
    }

    private Publisher<Void> handleReadOrder(HttpServerRequest request, HttpServerResponse response) {
        echoRequestHeaders(request, response);
        String number = String.valueOf(request.param("number"));
        AtomicInteger count = runs.get(number);
        return HttpJson.send(response, OK, Map.of("number", number, "runs", count == null ? 0 : count.get()));
    }

    private void echoRequestHeaders(HttpServerRequest request, HttpServerResponse response) {
        String requestId = String.valueOf(request.requestHeaders().get(REQUEST_ID));
        boolean mismatched = random.nextDouble() < faults.mismatchedIdProbability();
        response.header(REQUEST_ID, mismatched ? requestId + "-other" : requestId);
        response.header(ATTEMPT, String.valueOf(request.requestHeaders().get(ATTEMPT)));
    }
}
