package org.radishpass.router.internal.traffic;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Set;
import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.records.WorkspaceSpec;
import org.radishpass.router.internal.endpoint.CompleteResponse;
import org.radishpass.router.internal.endpoint.HeaderNames;
import org.radishpass.router.internal.endpoint.SseEvent;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles {@code POST /v1/chat/completions} with a streamed or a complete response.
 *
 * @since 0.1.0
 */
final class ChatHandler {
    private static final String EVENT_STREAM = "text/event-stream";

    private final TrafficComponents components;

    ChatHandler(TrafficComponents components) {
        this.components = components;
    }

    Publisher<Void> handle(CallerRequest caller, HttpServerRequest request, HttpServerResponse response) {
        String chatId = request.requestHeaders().get(HeaderNames.CHAT_ID);
        String affinity = request.requestHeaders().get(HeaderNames.AFFINITY);
        return RequestBodies.read(request).flatMap(body -> {
            ChatPrompt prompt = ChatPrompt.read(body, chatId, affinity);
            return Mono.from(admit(caller, prompt, body, response));
        });
    }

    private Publisher<Void> admit(CallerRequest caller, ChatPrompt prompt, byte[] body, HttpServerResponse response) {
        WorkspaceSpec workspace = caller.workspace();
        String pool = caller.snapshot()
                .poolFor(prompt.model())
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.NOT_FOUND, "no record declares the model " + prompt.model()));
        if (!components
                .workspaceLimiter()
                .tryAcquire(
                        workspace.name(),
                        workspace.inFlight(),
                        caller.snapshot().activeRouterCount())) {
            throw RefusedException.notRun(
                    RefusalCode.WORKSPACE_LIMIT, "the workspace has as many requests in progress as it may");
        }
        PlaceRequest placeRequest = new PlaceRequest(
                workspace.name(),
                prompt.chat(),
                prompt.affinity(),
                pool,
                caller.priority(),
                workspace.bound(),
                workspace.spread(),
                workspace.queued(),
                caller.deadline(),
                Set.of());
        DecisionLog.Decision decision = components.decisions().start(caller, pool, prompt.chat());
        ChatRun run = new ChatRun(caller, placeRequest, body, components, decision);
        response.header(HeaderNames.REQUEST_ID, caller.id());
        Publisher<Void> result = prompt.streamed()
                ? respondWithStream(caller, run, decision, response)
                : respondComplete(caller, run, decision, response);
        return Mono.from(result)
                .doFinally(signal -> components.workspaceLimiter().release(workspace.name()));
    }

    private Publisher<Void> respondWithStream(
            CallerRequest caller, ChatRun run, DecisionLog.Decision decision, HttpServerResponse response) {
        TokenTimer tokenTimer = new TokenTimer(caller, components.metrics());
        return run.events()
                .doOnNext(event -> tokenTimer.onEvent())
                .doOnComplete(() -> {
                    components.metrics().requestSucceeded(caller);
                    decision.recordSuccess();
                })
                .switchOnFirst((first, events) -> startStream(caller, run, decision, first, events, response));
    }

    private Publisher<Void> startStream(
            CallerRequest caller,
            ChatRun run,
            DecisionLog.Decision decision,
            Signal<? extends SseEvent> first,
            Flux<SseEvent> events,
            HttpServerResponse response) {
        if (!first.isOnNext()) {
            return events.thenMany(Flux.<Void>empty());
        }
        run.affinity().ifPresent(token -> response.header(HeaderNames.AFFINITY, token));
        response.header(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM);
        response.header(HttpHeaderNames.CACHE_CONTROL, "no-cache");
        Flux<byte[]> bytes = events.map(SseEvent::raw).onErrorResume(error -> {
            Refusal refusal = RefusalWriter.refusalOf(error);
            decision.recordRefusal(refusal);
            byte[] errorEvent = components.refusals().errorEvent(caller.id(), refusal);
            return Flux.just(errorEvent).concatWith(Flux.error(error));
        });
        return response.send(bytes.map(Unpooled::wrappedBuffer), buffer -> true);
    }

    private Publisher<Void> respondComplete(
            CallerRequest caller, ChatRun run, DecisionLog.Decision decision, HttpServerResponse response) {
        long startNanos = System.nanoTime();
        return run.completeResponse().flatMap(endpointResponse -> {
            components.metrics().completeResponse(caller, System.nanoTime() - startNanos);
            components.metrics().requestSucceeded(caller);
            decision.recordSuccess();
            run.affinity().ifPresent(token -> response.header(HeaderNames.AFFINITY, token));
            return Mono.from(send(endpointResponse, response));
        });
    }

    static Publisher<Void> send(CompleteResponse endpointResponse, HttpServerResponse response) {
        response.status(endpointResponse.status());
        if (endpointResponse.contentType() != null) {
            response.header(HttpHeaderNames.CONTENT_TYPE, endpointResponse.contentType());
        }
        response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(endpointResponse.body().length));
        return response.sendByteArray(Mono.just(endpointResponse.body()));
    }
}
