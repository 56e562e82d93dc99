package org.radishpass.router.internal.traffic;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.records.ModelSpec;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.control.RouterSnapshot;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.http.Shutdown;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves HTTP requests of callers, operators and the platform's load balancer.
 *
 * @since 0.1.0
 */
final class CallerServer {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int UNAVAILABLE = 503;
    private static final String PROMETHEUS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final TrafficComponents components;
    private final RouterControl control;
    private final PrometheusMeterRegistry registry;
    private final ChatHandler chats;
    private final ServiceHandler services;
    private final TicketService tickets;
    private final DisposableServer server;

    CallerServer(
            HttpRuntime runtime,
            String host,
            int port,
            TrafficComponents components,
            AtMostOnceGuard guard,
            TicketService tickets,
            RouterControl control,
            PrometheusMeterRegistry registry) {
        this.components = components;
        this.control = control;
        this.registry = registry;
        this.chats = new ChatHandler(components);
        this.services = new ServiceHandler(components, guard, control);
        this.tickets = tickets;
        control.setTicketHandler(services::handleForwarded);
        this.server = runtime.server(host, port)
                .idleTimeout(Duration.ofSeconds(75))
                .handle(this::route)
                .bindNow();
    }

    int port() {
        return server.port();
    }

    void close() {
        Shutdown.stop(server, "the server for callers", Duration.ofSeconds(2));
    }

    private Publisher<Void> route(HttpServerRequest request, HttpServerResponse response) {
        if (components.gracefulStop().begun()) {
            response.keepAlive(false);
        }
        String path = request.path();
        return switch (request.method().name() + " /" + path) {
            case "POST /v1/chat/completions" -> authenticated(request, response, chats::handle);
            case "POST /v1/tickets" ->
                authenticated(
                        request,
                        response,
                        (caller, httpRequest, httpResponse) -> HttpJson.send(
                                httpResponse,
                                CREATED,
                                Map.of("ticket", tickets.issue(caller).text())));
            case "GET /v1/models" ->
                authenticated(
                        request, response, (caller, httpRequest, httpResponse) -> listModels(caller, httpResponse));
            case "GET /healthz" -> HttpJson.send(response, OK, Map.of("status", "alive"));
            case "GET /readyz" -> readiness(response);
            case "GET /metrics" ->
                response.header("Content-Type", PROMETHEUS_TYPE).sendString(Mono.fromCallable(registry::scrape));
            case "GET /v1/status" -> HttpJson.send(response, OK, status());
            default -> routeByPrefix(path, request, response);
        };
    }

    private Publisher<Void> routeByPrefix(String path, HttpServerRequest request, HttpServerResponse response) {
        if (path.startsWith("services/")) {
            return authenticated(request, response, services::handle);
        }
        if (path.startsWith("v1/explain/")) {
            return explain(path.substring("v1/explain/".length()), response);
        }
        Refusal refusal = Refusal.notRun(RefusalCode.NOT_FOUND, "there is no " + request.method() + " /" + path);
        return components.refusals().write(response, components.authenticator().nextRequestId(), refusal);
    }

    private Publisher<Void> authenticated(HttpServerRequest request, HttpServerResponse response, Handler handler) {
        CallerRequest caller;
        try {
            caller = components.authenticator().authenticate(request);
        } catch (RefusedException e) {
            return components
                    .refusals()
                    .write(response, components.authenticator().nextRequestId(), e.refusal());
        }
        components.metrics().requestStarted();
        return Mono.defer(() -> {
                    components.gracefulStop().requireAccepted(caller.deadline());
                    return Mono.from(handler.handle(caller, request, response));
                })
                .onErrorResume(error -> respondWithError(caller, error, response))
                .doFinally(signal -> components.metrics().requestEnded());
    }

    private Mono<Void> respondWithError(CallerRequest caller, Throwable error, HttpServerResponse response) {
        if (response.hasSentHeaders()) {
            return Mono.error(error);
        }
        Refusal refusal = RefusalWriter.refusalOf(error);
        components.decisions().find(caller.id()).ifPresent(decision -> decision.recordRefusal(refusal));
        return Mono.from(components.refusals().write(response, caller.id(), refusal));
    }

    private Publisher<Void> readiness(HttpServerResponse response) {
        boolean ready = control.snapshot().ready();
        return HttpJson.send(response, ready ? OK : UNAVAILABLE, Map.of("ready", ready));
    }

    private Publisher<Void> listModels(CallerRequest caller, HttpServerResponse response) {
        List<Map<String, String>> models = caller.snapshot().configuration().models().stream()
                .map(ModelSpec::name)
                .sorted()
                .map(name -> Map.of("id", name, "object", "model"))
                .toList();
        return HttpJson.send(response, OK, Map.of("object", "list", "data", models));
    }

    private Publisher<Void> explain(String requestId, HttpServerResponse response) {
        return components
                .decisions()
                .find(requestId)
                .map(decision -> HttpJson.send(response, OK, decision.toJsonMap()))
                .orElseGet(() -> components
                        .refusals()
                        .write(
                                response,
                                requestId,
                                Refusal.notRun(RefusalCode.NOT_FOUND, "this router does not remember the request")));
    }

    private Map<String, Object> status() {
        RouterSnapshot snapshot = control.snapshot();
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("id", control.id());
        status.put("incarnation", control.incarnation());
        status.put("ready", snapshot.ready());
        status.put("revision", snapshot.configuration().revision());
        status.put("requestsInProgress", components.metrics().inProgress());
        status.put(
                "routers",
                snapshot.fleet().vms().stream().map(vm -> vm.id()).sorted().toList());
        status.put(
                "endpoints",
                snapshot.fleet().endpoints().stream()
                        .sorted(java.util.Comparator.comparing(Endpoint::id))
                        .map(endpoint -> Map.of(
                                "id",
                                endpoint.id(),
                                "dataCentre",
                                endpoint.dataCentre().name(),
                                "state",
                                endpoint.state().name(),
                                "pools",
                                endpoint.pools().stream().sorted().toList(),
                                "owner",
                                snapshot.owner(endpoint.id()).map(vm -> vm.id()).orElse("")))
                        .toList());
        return status;
    }

    /** Handles a request whose caller has been authenticated. */
    @FunctionalInterface
    private interface Handler {
        Publisher<Void> handle(CallerRequest caller, HttpServerRequest request, HttpServerResponse response);
    }
}
