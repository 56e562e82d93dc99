package org.radishpass.router.internal.traffic;

import org.radishpass.router.internal.endpoint.Attempt;
import org.radishpass.router.internal.endpoint.AttemptFailure;
import org.radishpass.router.internal.endpoint.WholeAnswer;
import reactor.core.publisher.Mono;

/**
 * One call of a plain service on its way. A non-idempotent one is sent again only if it provably did not run.
 *
 * @since 0.1.0
 */
final class ServiceRun {
    private final CallerRequest request;
    private final PlaceRequest place;
    private final ServiceCall call;
    private final TrafficTools tools;
    private final Retries retries;
    private final DecisionLog.Decision decision;

    ServiceRun(
            CallerRequest request,
            PlaceRequest place,
            ServiceCall call,
            TrafficTools tools,
            DecisionLog.Decision decision) {
        this.request = request;
        this.place = place;
        this.call = call;
        this.tools = tools;
        this.retries = tools.retries().of(request, call.idempotent());
        this.decision = decision;
    }

    /** Returns the answer; it ends in a {@link RefusedException} if there is none. */
    Mono<WholeAnswer> answer() {
        return tools.placer()
                .place(place.without(retries.failedAt()), decision)
                .onErrorMap(RefusedException.class, retries::afterPlacement)
                .flatMap(placed -> tools.client()
                        .call(attempt(placed))
                        .doFinally(signal -> tools.placer().release(placed))
                        .onErrorResume(AttemptFailure.class, failure -> {
                            decision.failed(placed.endpoint().id(), failure);
                            retries.failed(placed.endpoint(), failure);
                            return answer();
                        }));
    }

    private Attempt attempt(Placed placed) {
        tools.metrics().attempt(request);
        int number = retries.next();
        decision.attempted(number, placed.endpoint().id(), tools.clock().instant());
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
