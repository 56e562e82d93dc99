package org.radishpass.router.internal.traffic;

import org.radishpass.router.internal.endpoint.Attempt;
import org.radishpass.router.internal.endpoint.AttemptFailure;
import org.radishpass.router.internal.endpoint.CompleteResponse;
import reactor.core.publisher.Mono;

/**
 * Executes one call of a plain service. A non-idempotent call is retried only if the previous attempt certainly did not
 * run.
 *
 * @since 0.1.0
 */
final class ServiceRun {
    private final CallerRequest request;
    private final PlaceRequest place;
    private final ServiceCall call;
    private final TrafficComponents tools;
    private final Retries retries;
    private final DecisionLog.Decision decision;

    ServiceRun(
            CallerRequest request,
            PlaceRequest place,
            ServiceCall call,
            TrafficComponents tools,
            DecisionLog.Decision decision) {
        this.request = request;
        this.place = place;
        this.call = call;
        this.tools = tools;
        this.retries = tools.retries().create(request, call.idempotent());
        this.decision = decision;
    }

    /** Executes the call and returns the complete response, or a {@link RefusedException} if all attempts fail. */
    Mono<CompleteResponse> response() {
        return tools.placer()
                .place(place.withExcluded(retries.failedEndpointIds()), decision)
                .onErrorMap(RefusedException.class, retries::withAttemptsVerdict)
                .flatMap(placed -> tools.client()
                        .call(attempt(placed))
                        .doFinally(signal -> tools.placer().release(placed))
                        .onErrorResume(AttemptFailure.class, failure -> {
                            decision.recordFailure(placed.endpoint().id(), failure);
                            retries.onFailure(placed.endpoint(), failure);
                            return response();
                        }));
    }

    private Attempt attempt(Placement placed) {
        tools.metrics().attempt(request);
        int number = retries.nextAttemptNumber();
        decision.recordAttempt(number, placed.endpoint().id(), tools.clock().instant());
        return new Attempt(
                request.id(),
                number,
                placed.endpoint(),
                call.method(),
                call.path(),
                call.contentType(),
                call.body(),
                request.priority(),
                request.deadline(),
                0);
    }
}
