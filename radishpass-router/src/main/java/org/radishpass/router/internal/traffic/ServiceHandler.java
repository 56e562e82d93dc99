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
import org.radishpass.router.internal.endpoint.CompleteResponse;
import org.radishpass.router.internal.endpoint.HeaderNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles {@code /services/SERVICE/...} by forwarding calls to an endpoint of the service.
 *
 * @since 0.1.0
 */
final class ServiceHandler {
    private static final String PATH_PREFIX = "/services/";
    private static final int MAX_KEY_LENGTH = 200;

    private final TrafficComponents components;
    private final AtMostOnceGuard guard;
    private final RouterControl control;

    ServiceHandler(TrafficComponents components, AtMostOnceGuard guard, RouterControl control) {
        this.components = components;
        this.guard = guard;
        this.control = control;
    }

    Publisher<Void> handle(CallerRequest caller, HttpServerRequest request, HttpServerResponse response) {
        String serviceAndPath = request.uri().substring(PATH_PREFIX.length());
        int slash = serviceAndPath.indexOf('/');
        String serviceName = slash < 0 ? serviceAndPath : serviceAndPath.substring(0, slash);
        String path = slash < 0 ? "/" : serviceAndPath.substring(slash);
        ServiceSpec service = caller.snapshot()
                .configuration()
                .service(serviceName)
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.NOT_FOUND, "no record declares the service " + serviceName));
        String method = request.method().name();
        ServiceSpec.Call call = service.calls().stream()
                .filter(candidate -> candidate.matches(method, withoutQuery(path)))
                .findFirst()
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.NOT_FOUND, "the service has no call " + method + ' ' + withoutQuery(path)));
        String key = validatedKey(request.requestHeaders().get(HeaderNames.IDEMPOTENCY_KEY));
        String type = request.requestHeaders().get(HttpHeaderNames.CONTENT_TYPE);
        return RequestBodies.read(request).flatMap(body -> {
            ServiceCall serviceCall = new ServiceCall(serviceName, method, path, type, body, call.idempotent(), key);
            return Mono.from(respond(caller, service.pool(), serviceCall, response));
        });
    }

    private Publisher<Void> respond(CallerRequest caller, String pool, ServiceCall call, HttpServerResponse response) {
        response.header(HeaderNames.REQUEST_ID, caller.id());
        long startNanos = System.nanoTime();
        return execute(caller, pool, call).flatMap(endpointResponse -> {
            components.metrics().completeResponse(caller, System.nanoTime() - startNanos);
            components.metrics().requestSucceeded(caller);
            return Mono.from(ChatHandler.send(endpointResponse, response));
        });
    }

    /** Executes a call that another router forwarded because this router issued the call's ticket. */
    Mono<PeerMessage> handleForwarded(PeerMessage.TicketRun message) {
        return Mono.defer(() -> {
                    components.metrics().requestStarted();
                    return executeForwarded(message)
                            .doFinally(signal -> components.metrics().requestEnded());
                })
                .map(TicketService::toMessage)
                .onErrorResume(error -> Mono.just(TicketService.toFailureMessage(error)));
    }

    private Mono<CompleteResponse> executeForwarded(PeerMessage.TicketRun message) {
        return Mono.defer(() -> {
            RouterSnapshot snapshot = control.snapshot();
            WorkspaceSpec workspace = snapshot.configuration()
                    .workspace(message.workspace())
                    .orElseThrow(
                            () -> RefusedException.notRun(RefusalCode.UNAUTHORIZED, "the workspace is not known here"));
            ServiceSpec service = snapshot.configuration()
                    .service(message.service())
                    .orElseThrow(() -> RefusedException.notRun(RefusalCode.NOT_FOUND, "the service is not known here"));
            Instant now = components.clock().instant();
            CallerRequest caller = new CallerRequest(
                    components.authenticator().nextRequestId(),
                    workspace,
                    message.priority(),
                    now,
                    now.plusMillis(message.remainingMillis()),
                    snapshot);
            String type = message.contentType().isEmpty() ? null : message.contentType();
            ServiceCall call = new ServiceCall(
                    message.service(), message.method(), message.path(), type, message.body(), false, message.ticket());
            return execute(caller, service.pool(), call);
        });
    }

    private Mono<CompleteResponse> execute(CallerRequest caller, String pool, ServiceCall call) {
        WorkspaceSpec workspace = caller.workspace();
        if (!components
                .workspaceLimiter()
                .tryAcquire(
                        workspace.name(),
                        workspace.inFlight(),
                        caller.snapshot().activeRouterCount())) {
            throw RefusedException.notRun(
                    RefusalCode.WORKSPACE_LIMIT, "the workspace has as many requests in progress as it may");
        }
        String affinityKey = call.key() == null ? caller.id() : call.key();
        PlaceRequest placeRequest = new PlaceRequest(
                workspace.name(),
                affinityKey,
                null,
                pool,
                caller.priority(),
                workspace.bound(),
                0,
                workspace.queued(),
                caller.deadline(),
                Set.of());
        DecisionLog.Decision decision = components.decisions().start(caller, pool, affinityKey);
        ServiceRun run = new ServiceRun(caller, placeRequest, call, components, decision);
        return runOnceIfKeyed(caller, call, run)
                .doOnNext(response -> decision.recordSuccess())
                .doFinally(signal -> components.workspaceLimiter().release(workspace.name()));
    }

    private Mono<CompleteResponse> runOnceIfKeyed(CallerRequest caller, ServiceCall call, ServiceRun run) {
        if (call.idempotent() || call.key() == null) {
            return run.response();
        }
        return guard.runAtMostOnce(caller, call, run);
    }

    private static @Nullable String validatedKey(@Nullable String key) {
        if (key == null) {
            return null;
        }
        if (key.isBlank() || key.length() > MAX_KEY_LENGTH || key.indexOf('/') >= 0) {
            throw RefusedException.notRun(
                    RefusalCode.BAD_REQUEST,
                    HeaderNames.IDEMPOTENCY_KEY + " is 1 to " + MAX_KEY_LENGTH + " characters without /");
        }
        return key;
    }

    private static String withoutQuery(String path) {
        int question = path.indexOf('?');
        return question < 0 ? path : path.substring(0, question);
    }
}
