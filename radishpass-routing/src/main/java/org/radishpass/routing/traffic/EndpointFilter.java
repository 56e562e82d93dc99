package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.fleet.EndpointEligibility;
import org.radishpass.routing.fleet.Region;
import org.radishpass.routing.fleet.RegionMap;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.stream.StreamOrigin;

/**
 * Selects the endpoints that a request may be sent to, by the configuration and by what the endpoints have stated in
 * their responses. First attempts, retries, resumed streams and cache transfers all use this filter.
 *
 * <p>What depends on the view alone is computed once for each view. A list that needs no further selection is returned
 * as it is, so callers must not modify the returned lists. Confined to the traffic event loop.
 */
final class EndpointFilter {
    private final RoutingView view;
    private final EndpointSignals signals;
    private final Map<Restriction, List<ServiceEndpoint>> permitted = new HashMap<>();
    private final Map<Restriction, List<ServiceEndpoint>> inRegion = new HashMap<>();

    EndpointFilter(RoutingView view, EndpointSignals signals) {
        this.view = view;
        this.signals = signals;
    }

    /** Tells whether this filter selects from the given view. */
    @SuppressWarnings(
            "ReferenceEquality") // a view is a snapshot; comparing its contents would take longer than a new filter
    boolean selectsFrom(RoutingView other) {
        return view == other;
    }

    /**
     * Returns the endpoints of a service that are not leaving, including those that receive no requests now for another
     * reason.
     */
    List<ServiceEndpoint> notLeaving(String service) {
        return withoutLeaving(view.directory().accepting(service));
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
        return admitting(withoutLeaving(permitted(Restriction.none(service))));
    }

    /** Returns the endpoints that the request may be sent to now. */
    List<ServiceEndpoint> eligible(RequestTerms terms) {
        return admitting(withoutLeaving(permitted(Restriction.of(terms))));
    }

    /** Returns the endpoints that the request could be sent to if they were not in backoff. */
    List<ServiceEndpoint> inBackoff(RequestTerms terms) {
        if (signals.admitsAll()) {
            return List.of();
        }
        return select(withoutLeaving(permitted(Restriction.of(terms))), endpoint -> !signals.admits(endpoint));
    }

    /** Tells whether the stream that the request continues, if any, has an endpoint of its origin left. */
    boolean originServes(RequestTerms terms) {
        return terms.requiredOrigin() == null
                || notLeaving(terms.service()).stream().anyMatch(terms::mayContinueAt);
    }

    /**
     * Returns the endpoints whose caches may be read for the request, including those that accept no new requests. What an
     * endpoint has cached of a prompt depends on the weights, not on the software version.
     */
    List<ServiceEndpoint> cacheSources(RequestTerms terms) {
        return inRegion.computeIfAbsent(
                Restriction.of(terms).ofAnyOrigin(),
                restriction -> select(
                        view.directory().all(restriction.service()),
                        endpoint -> restriction.permits(endpoint, eligibility().regions())));
    }

    /** Tells whether the request may still be sent to an endpoint that was chosen earlier. */
    boolean stillEligible(RequestTerms terms, ServiceEndpoint chosen) {
        return view.directory()
                .find(chosen.id())
                .filter(endpoint -> !leaving(endpoint) && mayRun(terms, endpoint) && signals.admits(endpoint))
                .isPresent();
    }

    /** Returns the listed endpoints of a service that the configuration and the operator permit. */
    private List<ServiceEndpoint> permitted(Restriction restriction) {
        return permitted.computeIfAbsent(
                restriction,
                key -> select(
                        view.directory().accepting(key.service()),
                        endpoint -> notDrained(endpoint)
                                && (!key.beginsStream() || mayBeginStream(endpoint))
                                && key.permits(endpoint, eligibility().regions())));
    }

    private List<ServiceEndpoint> withoutLeaving(List<ServiceEndpoint> listed) {
        if (signals.leaving().size() == 0) {
            return listed;
        }
        return select(listed, endpoint -> !signals.leaving().contains(endpoint.id()));
    }

    private List<ServiceEndpoint> admitting(List<ServiceEndpoint> endpoints) {
        return signals.admitsAll() ? endpoints : select(endpoints, signals::admits);
    }

    private boolean mayRun(RequestTerms terms, ServiceEndpoint endpoint) {
        return notDrained(endpoint)
                && inAllowedRegion(terms, endpoint)
                && terms.mayContinueAt(endpoint)
                && (!beginsStream(terms) || mayBeginStream(endpoint));
    }

    /** Tells whether the request begins a stream that can be taken up elsewhere, or has begun none yet. */
    private static boolean beginsStream(RequestTerms terms) {
        return terms.kind().resumes() && terms.requiredOrigin() == null;
    }

    private boolean mayBeginStream(ServiceEndpoint endpoint) {
        return !eligibility().withoutNewStreams().contains(endpoint.id());
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

    /**
     * The restrictions that the configuration puts on the endpoints of a request.
     *
     * @param service the service that serves the request
     * @param byRoute the regions that the route allows; empty if it allows all
     * @param byWorkspace the regions that the workspace allows; empty if it allows all
     * @param origin what began the stream that the request continues; null if it continues none
     * @param beginsStream whether the request begins a stream that can be taken up elsewhere
     */
    private record Restriction(
            String service,
            Set<Region> byRoute,
            Set<Region> byWorkspace,
            @Nullable StreamOrigin origin,
            boolean beginsStream) {
        private static Restriction none(String service) {
            return new Restriction(service, Set.of(), Set.of(), null, false);
        }

        private static Restriction of(RequestTerms terms) {
            Workspace workspace = terms.workspaceSpec();
            return new Restriction(
                    terms.service(),
                    terms.route().allowedRegions(),
                    workspace == null ? Set.of() : workspace.allowedRegions(),
                    terms.requiredOrigin(),
                    EndpointFilter.beginsStream(terms));
        }

        private Restriction ofAnyOrigin() {
            return origin == null && !beginsStream ? this : new Restriction(service, byRoute, byWorkspace, null, false);
        }

        private boolean permits(ServiceEndpoint endpoint, RegionMap regions) {
            return regions.inAllowedRegion(endpoint.dataCentre(), byRoute)
                    && regions.inAllowedRegion(endpoint.dataCentre(), byWorkspace)
                    && (origin == null || origin.continuableAt(endpoint));
        }
    }
}
