package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.radishpass.routing.fleet.EndpointEligibility;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Which endpoints a request may go to, by what the operator wants and the endpoints themselves state: the one place that knows. First tries,
 * second tries, answers that go on elsewhere and the fetching of caches all choose among what it lets through.
 */
final class EndpointFilter {
    private final RoutingView view;
    private final EndpointSignals signals;

    EndpointFilter(RoutingView view, EndpointSignals signals) {
        this.view = view;
        this.signals = signals;
    }

    /** Returns the endpoints of a service that are not leaving, also those that are sent nothing now for another reason. */
    List<ServiceEndpoint> staying(String service) {
        return those(view.directory().open(service), endpoint -> !leaving(endpoint));
    }

    /**
     * Tells whether an endpoint is leaving, by the list or by its own answers: the list learns it later, and not at all while the store is
     * unavailable.
     */
    boolean leaving(ServiceEndpoint endpoint) {
        boolean listed = view.directory()
                .find(endpoint.id())
                .map(ServiceEndpoint::leaving)
                .orElse(false);
        return listed || signals.leaving().contains(endpoint.id());
    }

    /** Returns the endpoints of a service that take new work of anyone. */
    List<ServiceEndpoint> open(String service) {
        return those(staying(service), endpoint -> notDrained(endpoint) && signals.admits(endpoint));
    }

    /** Returns the endpoints that a request may be sent to. */
    List<ServiceEndpoint> open(Terms terms) {
        return those(staying(terms.service()), endpoint -> mayRun(terms, endpoint) && signals.admits(endpoint));
    }

    /** Returns the endpoints that a request could be sent to, but that are in backoff. */
    List<ServiceEndpoint> inBackoff(Terms terms) {
        return those(staying(terms.service()), endpoint -> mayRun(terms, endpoint) && !signals.admits(endpoint));
    }

    /** Returns the endpoints whose caches may be read for a request; those that take nothing new are among them. */
    List<ServiceEndpoint> cacheSources(Terms terms) {
        return those(view.directory().all(terms.service()), endpoint -> within(terms, endpoint));
    }

    /** Tells whether an endpoint that was chosen a while ago may still be sent the request. */
    boolean stillOpen(Terms terms, ServiceEndpoint chosen) {
        return view.directory()
                .find(chosen.id())
                .filter(endpoint -> !leaving(endpoint) && mayRun(terms, endpoint) && signals.admits(endpoint))
                .isPresent();
    }

    private boolean mayRun(Terms terms, ServiceEndpoint endpoint) {
        return notDrained(endpoint) && within(terms, endpoint);
    }

    private boolean notDrained(ServiceEndpoint endpoint) {
        return !eligibility().drained().contains(endpoint.dataCentre());
    }

    private boolean within(Terms terms, ServiceEndpoint endpoint) {
        return terms.mayRunIn(endpoint.dataCentre(), eligibility().regions());
    }

    private EndpointEligibility eligibility() {
        return view.eligibility();
    }

    private static List<ServiceEndpoint> those(List<ServiceEndpoint> all, Predicate<ServiceEndpoint> wanted) {
        List<ServiceEndpoint> those = new ArrayList<>(all.size());
        for (ServiceEndpoint endpoint : all) {
            if (wanted.test(endpoint)) {
                those.add(endpoint);
            }
        }
        return those;
    }
}
