package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.radishpass.routing.fleet.EndpointEligibility;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Selects the endpoints that a request may be sent to, by the configuration and by what the endpoints have stated in
 * their responses. First attempts, retries, resumed streams and cache transfers all use this filter.
 */
final class EndpointFilter {
    private final RoutingView view;
    private final EndpointSignals signals;

    EndpointFilter(RoutingView view, EndpointSignals signals) {
        this.view = view;
        this.signals = signals;
    }

    /**
     * Returns the endpoints of a service that are not leaving, including those that receive no requests now for another
     * reason.
     */
    List<ServiceEndpoint> notLeaving(String service) {
        return select(view.directory().accepting(service), endpoint -> !leaving(endpoint));
    }

    /**
     * Tells whether an endpoint is leaving, that is, shutting down, by the endpoint list or by its own responses. The
     * list learns it later, and not at all while the store is unavailable.
     */
    boolean leaving(ServiceEndpoint endpoint) {
        boolean listed = view.directory()
                .find(endpoint.id())
                .map(ServiceEndpoint::leaving)
                .orElse(false);
        return listed || signals.leaving().contains(endpoint.id());
    }

    /**
     * Returns the endpoints of a service that accept new requests, regardless of the restrictions of a particular
     * request.
     */
    List<ServiceEndpoint> eligible(String service) {
        return select(notLeaving(service), endpoint -> notDrained(endpoint) && signals.admits(endpoint));
    }

    /** Returns the endpoints that the request may be sent to now. */
    List<ServiceEndpoint> eligible(RequestTerms terms) {
        return select(notLeaving(terms.service()), endpoint -> mayRun(terms, endpoint) && signals.admits(endpoint));
    }

    /** Returns the endpoints that the request could be sent to if they were not in backoff. */
    List<ServiceEndpoint> inBackoff(RequestTerms terms) {
        return select(notLeaving(terms.service()), endpoint -> mayRun(terms, endpoint) && !signals.admits(endpoint));
    }

    /** Returns the endpoints whose caches may be read for the request, including those that accept no new requests. */
    List<ServiceEndpoint> cacheSources(RequestTerms terms) {
        return select(view.directory().all(terms.service()), endpoint -> inAllowedRegion(terms, endpoint));
    }

    /** Tells whether the request may still be sent to an endpoint that was chosen earlier. */
    boolean stillEligible(RequestTerms terms, ServiceEndpoint chosen) {
        return view.directory()
                .find(chosen.id())
                .filter(endpoint -> !leaving(endpoint) && mayRun(terms, endpoint) && signals.admits(endpoint))
                .isPresent();
    }

    private boolean mayRun(RequestTerms terms, ServiceEndpoint endpoint) {
        return notDrained(endpoint) && inAllowedRegion(terms, endpoint);
    }

    private boolean notDrained(ServiceEndpoint endpoint) {
        return !eligibility().drained().contains(endpoint.dataCentre());
    }

    private boolean inAllowedRegion(RequestTerms terms, ServiceEndpoint endpoint) {
        return terms.mayRunIn(endpoint.dataCentre(), eligibility().regions());
    }

    private EndpointEligibility eligibility() {
        return view.eligibility();
    }

    private static List<ServiceEndpoint> select(List<ServiceEndpoint> all, Predicate<ServiceEndpoint> condition) {
        List<ServiceEndpoint> selected = new ArrayList<>(all.size());
        for (ServiceEndpoint endpoint : all) {
            if (condition.test(endpoint)) {
                selected.add(endpoint);
            }
        }
        return selected;
    }
}
