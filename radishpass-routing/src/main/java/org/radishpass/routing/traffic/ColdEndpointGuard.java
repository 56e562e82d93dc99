package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.ColdStartShares;
import org.radishpass.routing.load.SpareCapacity;

/**
 * Limits the requests to cold endpoints, which have just started and crash under too much load. While the warm
 * endpoints have spare capacity they receive all requests, since a start takes seconds and a warm endpoint responds
 * sooner. Confined to the traffic event loop.
 */
final class ColdEndpointGuard {
    /**
     * Milliseconds after a failed connection until the endpoint list shows whether the endpoint has restarted and is
     * cold; an endpoint renews its entry every 1.2 s.
     */
    private static final long ENTRY_LAG_MILLIS = 1_500;

    /**
     * Largest share of the candidates that may be suspected of being cold. If more endpoints are unreachable, the fault
     * is on the side of this router.
     */
    private static final double MAX_SUSPECTED_SHARE = 0.5;

    private final TrafficContext context;
    private final ColdStartShares shares = new ColdStartShares();

    ColdEndpointGuard(TrafficContext context) {
        this.context = context;
    }

    ColdStartShares shares() {
        return shares;
    }

    /** Returns the candidates that may receive a request now. */
    List<ServiceEndpoint> admitted(List<ServiceEndpoint> candidates, RequestTerms terms, long nowMillis) {
        ColdStart coldStart = terms.coldStart();
        if (coldStart == null || noneCold(coldStart, nowMillis)) {
            return candidates;
        }
        List<ServiceEndpoint> warm = warm(candidates, coldStart, nowMillis);
        boolean warmSuffice = warm.size() == candidates.size()
                || (!warm.isEmpty() && SpareCapacity.existsAt(warm, context.inFlight()));
        if (warmSuffice) {
            return warm;
        }
        List<ServiceEndpoint> admitted = new ArrayList<>(warm);
        for (ServiceEndpoint endpoint : candidates) {
            if (!warm.contains(endpoint) && admits(endpoint, coldStart, nowMillis)) {
                admitted.add(endpoint);
            }
        }
        return admitted;
    }

    /**
     * Tells whether a request may be sent now to an endpoint that was chosen earlier. If the endpoint is cold, the
     * request counts against its limit.
     *
     * @param endpoint the chosen endpoint
     * @param usable supplies the endpoints that the request could be placed at now
     * @param terms the terms of the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    boolean tryAdmit(
            ServiceEndpoint endpoint, Supplier<List<ServiceEndpoint>> usable, RequestTerms terms, long nowMillis) {
        ColdStart coldStart = terms.coldStart();
        if (coldStart == null || !cold(endpoint, coldStart, nowMillis)) {
            return true;
        }
        if (warm(usable.get(), coldStart, nowMillis).contains(endpoint)) {
            return true;
        }
        if (!admits(endpoint, coldStart, nowMillis)) {
            return false;
        }
        shares.sent(endpoint, nowMillis);
        return true;
    }

    private boolean admits(ServiceEndpoint endpoint, ColdStart coldStart, long nowMillis) {
        return shares.admits(endpoint, coldStart, context.view().members(), nowMillis);
    }

    /** Tells whether no endpoint is listed as cold, and none has failed so recently that it may have become cold. */
    private boolean noneCold(ColdStart coldStart, long nowMillis) {
        return context.view().eligibility().coldUntilMillis().isEmpty()
                && nowMillis - context.health().lastUnreachableAtMillis() >= ENTRY_LAG_MILLIS + coldStart.millis();
    }

    private List<ServiceEndpoint> warm(List<ServiceEndpoint> candidates, ColdStart coldStart, long nowMillis) {
        List<ServiceEndpoint> warm = new ArrayList<>(candidates.size());
        List<ServiceEndpoint> suspected = new ArrayList<>();
        for (ServiceEndpoint endpoint : candidates) {
            if (mayHaveBecomeCold(endpoint, coldStart, nowMillis)) {
                suspected.add(endpoint);
            } else if (!listedAsCold(endpoint, nowMillis)) {
                warm.add(endpoint);
            }
        }
        if (suspected.size() > MAX_SUSPECTED_SHARE * candidates.size()) {
            suspected.stream()
                    .filter(endpoint -> !listedAsCold(endpoint, nowMillis))
                    .forEach(warm::add);
        }
        return warm;
    }

    private boolean cold(ServiceEndpoint endpoint, ColdStart coldStart, long nowMillis) {
        return listedAsCold(endpoint, nowMillis) || mayHaveBecomeCold(endpoint, coldStart, nowMillis);
    }

    private boolean listedAsCold(ServiceEndpoint endpoint, long nowMillis) {
        return context.view().eligibility().cold(endpoint, nowMillis);
    }

    /**
     * Tells whether an endpoint may have restarted, or become reachable again while cold, after its list entry was
     * read. That is possible after a failed connection.
     */
    private boolean mayHaveBecomeCold(ServiceEndpoint endpoint, ColdStart coldStart, long nowMillis) {
        long failedAtMillis = context.health().of(endpoint.id(), nowMillis).unreachableAtMillis();
        boolean recentlyFailed = nowMillis - failedAtMillis < ENTRY_LAG_MILLIS + coldStart.millis();
        return recentlyFailed && context.view().origin().readAtMillis() < failedAtMillis + ENTRY_LAG_MILLIS;
    }
}
