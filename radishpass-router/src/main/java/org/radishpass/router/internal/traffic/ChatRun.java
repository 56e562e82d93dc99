package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.core.placement.AffinityToken;
import org.radishpass.router.internal.endpoint.Attempt;
import org.radishpass.router.internal.endpoint.AttemptFailure;
import org.radishpass.router.internal.endpoint.CompleteResponse;
import org.radishpass.router.internal.endpoint.EndpointClient;
import org.radishpass.router.internal.endpoint.SseEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Executes one chat request at one or more engines.
 *
 * <p>If a stream fails, another engine resumes from the first token that the caller has not received.
 *
 * @since 0.1.0
 */
final class ChatRun {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String JSON_TYPE = "application/json";

    private final CallerRequest request;
    private final PlaceRequest placeRequest;
    private final byte[] body;
    private final Placer placer;
    private final EndpointClient client;
    private final Retries retries;
    private final TrafficMetrics metrics;
    private final Clock clock;
    private final DecisionLog.Decision decision;
    private long nextToken;
    private boolean hasUnnumberedEvents;
    private volatile @Nullable String currentEndpointId;

    ChatRun(
            CallerRequest request,
            PlaceRequest placeRequest,
            byte[] body,
            TrafficComponents components,
            DecisionLog.Decision decision) {
        this.request = request;
        this.placeRequest = placeRequest;
        this.body = body;
        this.placer = components.placer();
        this.client = components.client();
        this.retries = components.retries().create(request, true);
        this.metrics = components.metrics();
        this.clock = components.clock();
        this.decision = decision;
    }

    /** Returns the events of the response in order and without duplicates, across all attempts. */
    Flux<SseEvent> events() {
        return place().flatMapMany(placement -> client.stream(attempt(placement))
                .filter(this::isNew)
                .doFinally(signal -> placer.release(placement))
                .onErrorResume(AttemptFailure.class, failure -> {
                    onFailure(placement, failure);
                    return events();
                }));
    }

    /** Returns the complete response. */
    Mono<CompleteResponse> completeResponse() {
        return place().flatMap(placement -> client.call(attempt(placement))
                .doFinally(signal -> placer.release(placement))
                .onErrorResume(AttemptFailure.class, failure -> {
                    onFailure(placement, failure);
                    return completeResponse();
                }));
    }

    /** Returns the affinity token of the engine that received the last attempt, or empty before the first attempt. */
    Optional<String> affinity() {
        return Optional.ofNullable(currentEndpointId)
                .map(endpointId -> AffinityToken.of(request.workspace().name(), endpointId));
    }

    private Mono<Placement> place() {
        return placer.place(placeRequest.withExcluded(retries.failedEndpointIds()), decision)
                .onErrorMap(RefusedException.class, retries::withAttemptsVerdict);
    }

    private Attempt attempt(Placement placement) {
        metrics.attemptStarted(request);
        int number = retries.nextAttemptNumber();
        currentEndpointId = placement.endpoint().id();
        decision.recordAttempt(number, placement.endpoint().id(), clock.instant());
        return new Attempt(
                request.id(),
                number,
                placement.endpoint(),
                "POST",
                CHAT_PATH,
                JSON_TYPE,
                body,
                request.priority(),
                request.deadline(),
                nextToken);
    }

    private void onFailure(Placement placement, AttemptFailure failure) {
        decision.recordFailure(placement.endpoint().id(), failure);
        if (hasUnnumberedEvents) {
            throw new RefusedException(new Refusal(
                    RefusalCode.ENDPOINT_FAILED,
                    Verdict.RAN,
                    "the stream broke off and its tokens have no numbers to resume from"));
        }
        retries.onFailure(placement.endpoint(), failure);
    }

    private boolean isNew(SseEvent event) {
        if (event.endMarker()) {
            return true;
        }
        if (event.id() < 0) {
            hasUnnumberedEvents = true;
            return true;
        }
        if (event.id() < nextToken) {
            return false;
        }
        if (event.id() > nextToken) {
            throw new AttemptFailure(Verdict.RAN, "token " + event.id() + " came where " + nextToken + " was to come");
        }
        nextToken++;
        return true;
    }
}
