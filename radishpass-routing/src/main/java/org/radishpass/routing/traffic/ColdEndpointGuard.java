package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.ColdStartShares;
import org.radishpass.routing.load.SpareRoom;

/**
 * Keeps endpoints that have just started from more requests than they bear: they crash beyond it. While those that are warm have room, they
 * get everything; a start takes seconds, and a request is answered sooner by a warm endpoint. Belongs to the traffic thread.
 */
final class ColdEndpointGuard {
    /**
     * Milliseconds after a failed connection until a reading of the list shows whether the endpoint has become cold: it renews its entry
     * every 1.2 s.
     */
    private static final long ENTRY_LAG_MILLIS = 1_500;

    /** The part of endpoints that may be suspected: where more cannot be reached, the fault is this router's. */
    private static final double MOST_SUSPECTED = 0.5;

    private final TrafficTools tools;
    private final ColdStartShares shares = new ColdStartShares();

    ColdEndpointGuard(TrafficTools tools) {
        this.tools = tools;
    }

    ColdStartShares shares() {
        return shares;
    }

    /** Returns the candidates that may be given a request now. */
    List<ServiceEndpoint> admitted(List<ServiceEndpoint> candidates, Terms terms, long nowMillis) {
        ColdStart coldStart = terms.coldStart();
        if (coldStart == null) {
            return candidates;
        }
        List<ServiceEndpoint> warm = warm(candidates, coldStart, nowMillis);
        boolean enough = warm.size() == candidates.size() || (!warm.isEmpty() && SpareRoom.at(warm, tools.book()));
        if (enough) {
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
     * Tells whether a request may be sent now to an endpoint that was chosen a while ago, and counts it if so.
     *
     * @param endpoint the endpoint
     * @param usable gives the endpoints among which it would be chosen now
     * @param terms the request's terms
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    boolean takes(ServiceEndpoint endpoint, Supplier<List<ServiceEndpoint>> usable, Terms terms, long nowMillis) {
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
        return shares.admits(endpoint, coldStart, tools.view().members(), nowMillis);
    }

    private List<ServiceEndpoint> warm(List<ServiceEndpoint> candidates, ColdStart coldStart, long nowMillis) {
        List<ServiceEndpoint> warm = new ArrayList<>(candidates.size());
        List<ServiceEndpoint> suspected = new ArrayList<>();
        for (ServiceEndpoint endpoint : candidates) {
            if (mayHaveBecomeCold(endpoint, coldStart, nowMillis)) {
                suspected.add(endpoint);
            } else if (!saysCold(endpoint, nowMillis)) {
                warm.add(endpoint);
            }
        }
        if (suspected.size() > MOST_SUSPECTED * candidates.size()) {
            suspected.stream()
                    .filter(endpoint -> !saysCold(endpoint, nowMillis))
                    .forEach(warm::add);
        }
        return warm;
    }

    private boolean cold(ServiceEndpoint endpoint, ColdStart coldStart, long nowMillis) {
        return saysCold(endpoint, nowMillis) || mayHaveBecomeCold(endpoint, coldStart, nowMillis);
    }

    private boolean saysCold(ServiceEndpoint endpoint, long nowMillis) {
        return tools.view().eligibility().cold(endpoint, nowMillis);
    }

    /** Who could not be connected to may have started anew, or come back cold, since its entry was read. */
    private boolean mayHaveBecomeCold(ServiceEndpoint endpoint, ColdStart coldStart, long nowMillis) {
        long failedAtMillis = tools.health().of(endpoint.id(), nowMillis).unreachableAtMillis();
        boolean lately = nowMillis - failedAtMillis < ENTRY_LAG_MILLIS + coldStart.millis();
        return lately && tools.view().origin().readAtMillis() < failedAtMillis + ENTRY_LAG_MILLIS;
    }
}
