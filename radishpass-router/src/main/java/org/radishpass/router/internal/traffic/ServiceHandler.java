package org.radishpass.router.internal.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Instant;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.records.ServiceSpec;
import org.radishpass.records.WorkspaceSpec;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.control.RouterSnapshot;
import org.radishpass.router.internal.endpoint.HeaderNames;
import org.radishpass.router.internal.endpoint.WholeAnswer;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves {@code /services/SERVICE/...}: passes a call on to a runner of the service.
 *
 * @since 0.1.0
 */
final class ServiceHandler {
    private static final String PREFIX = "/services/";
    private static final int MOST_KEY_LENGTH = 200;

    private final TrafficTools tools;
    private final OnceGuard guard;
    private final RouterControl control;

    ServiceHandler(TrafficTools tools, OnceGuard guard, RouterControl control) {
        this.tools = tools;
        this.guard = guard;
        this.control = control;
    }

    Publisher<Void> handle(CallerRequest caller, HttpServerRequest request, HttpServerResponse response) {
        String rest = request.uri().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String serviceName = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        ServiceSpec service = caller.snapshot()
                .configuration()
                .service(serviceName)
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.NOT_FOUND, "no record declares the service " + serviceName));
        String method = request.method().name();
        ServiceSpec.Call call = service.calls().stream()
                .filter(candidate -> candidate.matches(method, pathOnly(path)))
                .findFirst()
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.NOT_FOUND, "the service has no call " + method + ' ' + pathOnly(path)));
        String key = checkedKey(request.requestHeaders().get(HeaderNames.IDEMPOTENCY_KEY));
        String type = request.requestHeaders().get(HttpHeaderNames.CONTENT_TYPE);
        return Bodies.read(request).flatMap(body -> {
            ServiceCall wanted = new ServiceCall(serviceName, method, path, type, body, call.idempotent(), key);
            return Mono.from(admitted(caller, service.pool(), wanted, response));
        });
    }

    private Publisher<Void> admitted(CallerRequest caller, String pool, ServiceCall call, HttpServerResponse response) {
        response.header(HeaderNames.REQUEST_ID, caller.id());
        long started = System.nanoTime();
        return served(caller, pool, call).flatMap(answer -> {
            tools.metrics().wholeAnswer(caller, System.nanoTime() - started);
            tools.metrics().answered(caller);
            return Mono.from(ChatHandler.send(answer, response));
        });
    }

    /** Serves a call that another router passed on, since its ticket was given out here. */
    Mono<PeerMessage> passedOn(PeerMessage.TicketRun message) {
        return Mono.defer(() -> {
                    RouterSnapshot snapshot = control.snapshot();
                    WorkspaceSpec workspace = snapshot.configuration()
                            .workspace(message.workspace())
                            .orElseThrow(() -> RefusedException.notRun(
                                    RefusalCode.UNAUTHORIZED, "the workspace is not known here"));
                    ServiceSpec service = snapshot.configuration()
                            .service(message.service())
                            .orElseThrow(() ->
                                    RefusedException.notRun(RefusalCode.NOT_FOUND, "the service is not known here"));
                    Instant now = tools.clock().instant();
                    CallerRequest caller = new CallerRequest(
                            tools.identity().nextId(),
                            workspace,
                            message.priority(),
                            now,
                            now.plusMillis(message.leftMillis()),
                            snapshot);
                    String type = message.contentType().isEmpty() ? null : message.contentType();
                    ServiceCall call = new ServiceCall(
                            message.service(),
                            message.method(),
                            message.path(),
                            type,
                            message.body(),
                            false,
                            message.ticket());
                    return served(caller, service.pool(), call);
                })
                .map(TicketDesk::done)
                .onErrorResume(error -> Mono.just(TicketDesk.failed(error)));
    }

    private Mono<WholeAnswer> served(CallerRequest caller, String pool, ServiceCall call) {
        WorkspaceSpec workspace = caller.workspace();
        if (!tools.gate()
                .tryEnter(
                        workspace.name(),
                        workspace.inFlight(),
                        caller.snapshot().routers())) {
            throw RefusedException.notRun(
                    RefusalCode.WORKSPACE_LIMIT, "the workspace has as many requests in progress as it may");
        }
        String affinity = call.key() == null ? caller.id() : call.key();
        PlaceRequest place = new PlaceRequest(
                workspace.name(),
                affinity,
                null,
                pool,
                caller.priority(),
                workspace.bound(),
                0,
                workspace.queued(),
                caller.deadline(),
                Set.of());
        DecisionLog.Decision decision = tools.decisions().start(caller, pool, affinity);
        ServiceRun run = new ServiceRun(caller, place, call, tools, decision);
        return answer(caller, call, run)
                .doOnNext(answer -> decision.answered())
                .doFinally(signal -> tools.gate().leave(workspace.name()));
    }

    private Mono<WholeAnswer> answer(CallerRequest caller, ServiceCall call, ServiceRun run) {
        if (call.idempotent() || call.key() == null) {
            return run.answer();
        }
        return guard.once(caller, call, run);
    }

    private static @Nullable String checkedKey(@Nullable String key) {
        if (key == null) {
            return null;
        }
        if (key.isBlank() || key.length() > MOST_KEY_LENGTH || key.indexOf('/') >= 0) {
            throw RefusedException.notRun(
                    RefusalCode.BAD_REQUEST,
                    HeaderNames.IDEMPOTENCY_KEY + " is 1 to " + MOST_KEY_LENGTH + " characters without /");
        }
        return key;
    }

    private static String pathOnly(String path) {
        int question = path.indexOf('?');
        return question < 0 ? path : path.substring(0, question);
    }
}
