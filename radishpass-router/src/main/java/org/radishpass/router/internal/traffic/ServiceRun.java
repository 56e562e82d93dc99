package org.radishpass.router.internal.traffic;

import org.radishpass.router.internal.endpoint.Attempt;
import org.radishpass.router.internal.endpoint.AttemptFailure;
import org.radishpass.router.internal.endpoint.CompleteResponse;
import reactor.core.publisher.Mono;

/**
 * Executes one call of a plain service at one or more endpoints. A non-idempotent call is retried only if the failed
 * attempt certainly did not run.
 *
 * @since 0.1.0
 */
final class ServiceRun {
    private final CallerRequest request;
    private final PlaceRequest placeRequest;
    private final ServiceCall call;
    private final TrafficComponents components;
    private final Retries retries;
    private final DecisionLog.Decision decision;

    ServiceRun(
            CallerRequest request,
            PlaceRequest placeRequest,
            ServiceCall call,
            TrafficComponents components,
            DecisionLog.Decision decision) {
        this.request = request;
        this.placeRequest = placeRequest;
        this.call = call;
        this.components = components;
        this.retries = components.retries().create(request, call.idempotent());
        this.decision = decision;
    }

    /** Executes the call and returns the complete response, or a {@link RefusedException} if all attempts fail. */
    Mono<CompleteResponse> response() {
        return components
                .placer()
                .place(placeRequest.withExcluded(retries.failedEndpointIds()), decision)
                .onErrorMap(RefusedException.class, retries::withAttemptsVerdict)
                .flatMap(placement -> components
                        .client()
                        .call(attempt(placement))
                        .doFinally(signal -> components.placer().release(placement))
                        .onErrorResume(AttemptFailure.class, failure -> {
                            decision.recordFailure(placement.endpoint().id(), failure);
                            retries.onFailure(placement.endpoint(), failure);
                            return response();
                        }));
    }

    private Attempt attempt(Placement placement) {
        components.metrics().attemptStarted(request);
        int number = retries.nextAttemptNumber();
        decision.recordAttempt(
                number, placement.endpoint().id(), components.clock().instant());
        return new Attempt(
                request.id(),
                number,
                placement.endpoint(),
                call.method(),
                call.path(),
                call.contentType(),
                call.body(),
                request.priority(),
                request.deadline(),
                0);
    }
}
