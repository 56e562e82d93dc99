package org.radishpass.routing.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.LinkEvidence;
import org.radishpass.routing.health.LinkState;

/** Decides whether one request is relayed to another router, and to which. */
final class RelayPlanner {
    /** The maximum number of routers to which a request is relayed, one after the other. */
    private static final int MAX_ROUTERS = 3;

    /** The fraction of the endpoints of a service, as a divisor, below which a router does not send to those it reaches. */
    private static final int FEW_REACHED_DIVISOR = 2;

    private static final NextStep NO_PATH = new NextStep.GiveUp(
            RefusalCode.NO_ENDPOINT, "this router reaches no endpoint of the service, and knows no router that does");

    private final TrafficContext context;
    private final ExchangeRecord record;
    private final boolean relayed;
    private final Set<String> triedRouters = new HashSet<>();

    /**
     * Creates the planner of one request.
     *
     * @param context the shared state of the traffic event loop
     * @param record the log record of the request
     * @param relayed whether another router has relayed the request to this one, so that it must not be relayed again
     */
    RelayPlanner(TrafficContext context, ExchangeRecord record, boolean relayed) {
        this.context = context;
        this.record = record;
        this.relayed = relayed;
    }

    /**
     * Returns the step for a request whose service this router does not reach, or of which it reaches so few endpoints that
     * its load would exceed theirs; empty if an endpoint can be tried.
     *
     * @param terms the terms of the request
     */
    Optional<NextStep> withoutPath(RequestTerms terms) {
        if (!lacksPath(terms)) {
            return Optional.empty();
        }
        return relay(terms).or(() -> unreachable(terms) ? Optional.of(NO_PATH) : Optional.empty());
    }

    /** Tells whether this router reaches none, or too few, of the endpoints to which the request may be sent. */
    boolean lacksPath(RequestTerms terms) {
        long nowMillis = context.nowMillis();
        if (context.health().allHealthy(nowMillis)) {
            return false;
        }
        List<ServiceEndpoint> eligible = context.filter().eligible(terms);
        if (context.health().noneReached(eligible, nowMillis)) {
            return true;
        }
        boolean few = context.health().reachedCount(eligible, nowMillis) * FEW_REACHED_DIVISOR < eligible.size();
        return few && reachedByOthers(eligible, nowMillis);
    }

    /**
     * Returns a relay instead of the refusal of a request, if other routers reach endpoints of the service that this one
     * does not reach.
     *
     * @param step the step without a relay
     * @param terms the terms of the request
     */
    NextStep insteadOf(NextStep step, RequestTerms terms) {
        long nowMillis = context.nowMillis();
        if (!(step instanceof NextStep.GiveUp) || context.health().allHealthy(nowMillis)) {
            return step;
        }
        return reachedByOthers(context.filter().eligible(terms), nowMillis)
                ? relay(terms).orElse(step)
                : step;
    }

    /**
     * Returns a relay instead of the refusal of a request for which this router may open no connection. Each router's share
     * of the connections of an endpoint is that of an even spread of callers, so other routers may have some left. If the
     * first one has none either, the service is full.
     *
     * @param refusal the refusal of the request
     * @param terms the terms of the request
     */
    NextStep forConnection(NextStep refusal, RequestTerms terms) {
        return triedRouters.isEmpty() ? relay(terms).orElse(refusal) : refusal;
    }

    /** Tells whether a request for which this router may open no connection is relayed instead of refused. */
    boolean relaysForConnection(RequestTerms terms) {
        return triedRouters.isEmpty() && canRelay(terms);
    }

    /** Tells whether the request can be relayed to a router to which it was not relayed before. */
    boolean canRelay(RequestTerms terms) {
        return !relayed
                && context.gracefulStop().accepts(record)
                && triedRouters.size() < MAX_ROUTERS
                && context.relay().peers().available(terms.service(), triedRouters, context.nowMillis());
    }

    private Optional<NextStep> relay(RequestTerms terms) {
        if (!canRelay(terms)) {
            return Optional.empty();
        }
        Optional<FleetRouter> router =
                context.relay().peers().choose(terms.service(), triedRouters, context.nowMillis());
        router.ifPresent(chosen -> triedRouters.add(chosen.id()));
        return router.map(NextStep.Relay::new);
    }

    /**
     * Tells whether connection attempts are pointless. An attempt that is refused costs nothing, so endpoints that refuse
     * connections are tried although they are down, but not for another router, which has others to ask.
     */
    private boolean unreachable(RequestTerms terms) {
        long nowMillis = context.nowMillis();
        return context.filter().eligible(terms).stream()
                .map(endpoint -> context.health().of(endpoint.id(), nowMillis).link())
                .allMatch(link ->
                        link.evidence() == LinkEvidence.NO_ANSWER || (relayed && link.state() == LinkState.UNREACHED));
    }

    private boolean reachedByOthers(List<ServiceEndpoint> eligible, long nowMillis) {
        return eligible.stream()
                .anyMatch(endpoint ->
                        context.health().of(endpoint.id(), nowMillis).down()
                                && context.inFlight().peersAt(endpoint.id()) > 0);
    }
}
