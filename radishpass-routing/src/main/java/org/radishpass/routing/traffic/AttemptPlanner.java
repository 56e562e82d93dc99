package org.radishpass.routing.traffic;

import java.util.Optional;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.routing.placement.PlacementChoice;

/** Decides what is done next with one request that is at no endpoint: at its start, and after each failed attempt. */
final class AttemptPlanner {
    private static final NextStep NO_ENDPOINT =
            new NextStep.GiveUp(RefusalCode.NO_ENDPOINT, "no endpoint of the service is left to try");
    private static final NextStep ORIGIN_GONE = new NextStep.GiveUp(
            RefusalCode.STREAM_LOST, "no endpoint is left of the software version that began the stream");
    private static final NextStep NO_CONNECTION = new NextStep.GiveUp(
            RefusalCode.OVERLOADED, "every endpoint of the service holds as many connections as it may");

    private final TrafficContext context;
    private final ExchangeRecord record;
    private final SendHistory history;
    private final CapacityGuard capacityGuard;
    private final RelayPlanner relayPlanner;

    /**
     * Creates the planner of one request.
     *
     * @param context the shared state of the traffic event loop
     * @param record the log record of the request
     * @param history the previous sends of the request
     * @param relayPlanner decides whether the request is relayed
     */
    AttemptPlanner(TrafficContext context, ExchangeRecord record, SendHistory history, RelayPlanner relayPlanner) {
        this.context = context;
        this.record = record;
        this.history = history;
        this.capacityGuard = new CapacityGuard(context, record, history);
        this.relayPlanner = relayPlanner;
    }

    /**
     * Decides what is done next.
     *
     * @param terms the terms of the request
     * @param quarantineGuard tells whether the request is quarantined
     * @param backoffWait tells whether the request can wait for a backoff to end
     * @param responseStarted whether a part of the response has been sent to the caller
     */
    NextStep next(
            RequestTerms terms, QuarantineGuard quarantineGuard, BackoffWait backoffWait, boolean responseStarted) {
        if (!context.gracefulStop().accepts(record)) {
            return NextStep.STOPPING;
        }
        if (!quarantineGuard.admitted()) {
            return quarantineGuard.refusal();
        }
        if (!context.filter().originServes(terms)) {
            return ORIGIN_GONE;
        }
        Optional<NextStep> withoutPath = relayPlanner.withoutPath(terms);
        if (withoutPath.isPresent()) {
            return withoutPath.get();
        }
        Optional<PlacementChoice> choice = context.placer().place(terms, history.triedEndpoints(), history.sends() > 0);
        if (choice.isEmpty() || backoffWait.overtakes(choice.get())) {
            NextStep step = withoutEndpoint(terms, backoffWait, responseStarted);
            return relayPlanner.insteadOf(step, terms);
        }
        String lackOfCapacity = capacityGuard.refusal(terms, choice.get());
        if (lackOfCapacity == null) {
            return new NextStep.Send(choice.get());
        }
        record.chosen(choice.get(), context.view(), context.nowMillis());
        return relayPlanner.insteadOf(lacksCapacity(terms, lackOfCapacity), terms);
    }

    /** Tells whether the request is to be relayed before it is sent to any endpoint. */
    boolean relaysFirst(RequestTerms terms) {
        return relayPlanner.lacksPath(terms) && relayPlanner.canRelay(terms);
    }

    private NextStep withoutEndpoint(RequestTerms terms, BackoffWait backoffWait, boolean responseStarted) {
        if (capacityGuard.lacksConnections()) {
            return relayPlanner.forConnection(NO_CONNECTION, terms);
        }
        boolean certainlyNotRun = !responseStarted && history.notRun();
        return certainlyNotRun && backoffWait.backoffOnly() ? new NextStep.AwaitBackoff() : NO_ENDPOINT;
    }

    /**
     * Returns the number of ways that are left to get a connection: the endpoints that may still be tried, including the
     * current one, and another router.
     */
    int connectionsToTry(RequestTerms terms) {
        int untried = context.filter().eligible(terms).size()
                - history.triedEndpoints().size();
        int endpoints = Math.max(1, Math.min(untried, capacityGuard.endpointsLeftWithoutConnection()));
        return relayPlanner.relaysForConnection(terms) ? endpoints + 1 : endpoints;
    }

    /** Returns the step after an endpoint had no free connection; empty if another endpoint may be tried. */
    Optional<NextStep> noConnectionFree(RequestTerms terms) {
        return capacityGuard.noConnectionFree()
                ? Optional.empty()
                : Optional.of(relayPlanner.forConnection(NO_CONNECTION, terms));
    }

    /** Returns the step for a request that no endpoint has the capacity to run. */
    NextStep lacksCapacity(RequestTerms terms, String detail) {
        capacityGuard.refused(terms);
        return new NextStep.GiveUp(RefusalCode.OVERLOADED, detail);
    }
}
