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
import org.radishpass.router.internal.endpoint.EndpointClient;
import org.radishpass.router.internal.endpoint.SseEvent;
import org.radishpass.router.internal.endpoint.WholeAnswer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * One chat request on its way through one or more engines.
 *
 * <p>A stream that breaks off goes on at another engine from the first token that the caller has not seen.
 *
 * @since 0.1.0
 */
final class ChatRun {
    private static final String PATH = "/v1/chat/completions";
    private static final String JSON = "application/json";

    private final CallerRequest request;
    private final PlaceRequest place;
    private final byte[] body;
    private final Placer placer;
    private final EndpointClient client;
    private final Retries retries;
    private final TrafficMetrics metrics;
    private final Clock clock;
    private final DecisionLog.Decision decision;
    private long nextToken;
    private boolean unnumbered;
    private volatile @Nullable String servedBy;

    ChatRun(CallerRequest request, PlaceRequest place, byte[] body, TrafficTools tools, DecisionLog.Decision decision) {
        this.request = request;
        this.place = place;
        this.body = body;
        this.placer = tools.placer();
        this.client = tools.client();
        this.retries = tools.retries().of(request, true);
        this.metrics = tools.metrics();
        this.clock = tools.clock();
        this.decision = decision;
    }

    /** Returns the events of the answer, in order, each once. */
    Flux<SseEvent> events() {
        return place().flatMapMany(placed -> client.stream(attempt(placed))
                .filter(this::fresh)
                .doFinally(signal -> placer.release(placed))
                .onErrorResume(AttemptFailure.class, failure -> {
                    failed(placed, failure);
                    return events();
                }));
    }

    /** Returns the answer, all of it. */
    Mono<WholeAnswer> whole() {
        return place().flatMap(placed -> client.call(attempt(placed))
                .doFinally(signal -> placer.release(placed))
                .onErrorResume(AttemptFailure.class, failure -> {
                    failed(placed, failure);
                    return whole();
                }));
    }

    /** Returns the token of the engine that answers, once there is one. */
    Optional<String> affinity() {
        return Optional.ofNullable(servedBy)
                .map(endpointId -> AffinityToken.of(request.workspace().name(), endpointId));
    }

    private Mono<Placed> place() {
        return placer.place(place.without(retries.failedAt()), decision)
                .onErrorMap(RefusedException.class, retries::afterPlacement);
    }

    private Attempt attempt(Placed placed) {
        metrics.attempt(request);
        int number = retries.next();
        servedBy = placed.endpoint().id();
        decision.attempted(number, placed.endpoint().id(), clock.instant());
        return new Attempt(
                request.id(),
                number,
                placed.endpoint(),
                "POST",
                PATH,
                JSON,
                body,
                request.priority(),
                request.deadline(),
                nextToken);
    }

    private void failed(Placed placed, AttemptFailure failure) {
        decision.failed(placed.endpoint().id(), failure);
        if (unnumbered) {
            throw new RefusedException(new Refusal(
                    RefusalCode.ENDPOINT_FAILED,
                    Verdict.RAN,
                    "the stream broke off and its tokens have no numbers to resume from"));
        }
        retries.failed(placed.endpoint(), failure);
    }

    private boolean fresh(SseEvent event) {
        if (event.last()) {
            return true;
        }
        if (event.id() < 0) {
            unnumbered = true;
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
