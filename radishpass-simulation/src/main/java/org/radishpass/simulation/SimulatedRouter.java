package org.radishpass.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointBackoffs;
import org.radishpass.routing.health.EndpointHealth;
import org.radishpass.routing.health.EndpointHealthTracker;
import org.radishpass.routing.health.ResponseTimes;
import org.radishpass.routing.load.InFlightTracker;
import org.radishpass.routing.placement.EndpointChooser;
import org.radishpass.routing.retry.RetryAllowance;
import org.radishpass.routing.retry.SharedRetryBudget;

/** A router's decisions, which are the product's, and its peers and background checks, which are modelled. */
final class SimulatedRouter {
    /** Milliseconds between messages to the peers, as the product's in fleets where everyone tells everyone. */
    static final double TELL_MILLIS = 200;

    /** Milliseconds that a message takes between routers. */
    static final double NETWORK_MILLIS = 1;

    /** Milliseconds until a connection that nobody answers is given up, as the product's. */
    static final double CONNECT_MILLIS = 350;

    /** Milliseconds between looks at endpoints, as the product's. */
    static final double LOOK_MILLIS = 100;

    /** The part of a backoff over which routers come back, where that is spread. */
    private static final double SPREAD = 0.25;

    private static final int SHARES = 1_000;

    private final Timeline timeline;
    private final Fleet fleet;
    private final Set<Policy> policies;
    private final String id;
    private final int routers;
    private final InFlightTracker inFlight = new InFlightTracker();
    private final EndpointHealthTracker health = new EndpointHealthTracker();
    private final EndpointBackoffs backoffs = new EndpointBackoffs();
    private final ResponseTimes responseTimes = new ResponseTimes();
    private final EndpointChooser chooser;
    private final SharedRetryBudget budget;
    private final List<SimulatedRouter> peers = new ArrayList<>();

    SimulatedRouter(
            Timeline timeline, Fleet fleet, Set<Policy> policies, String id, int routers, RetryAllowance allowance) {
        this.timeline = timeline;
        this.fleet = fleet;
        this.policies = policies;
        this.id = id;
        this.routers = routers;
        this.chooser = new EndpointChooser(inFlight, new DataCentre("dc"));
        this.budget = new SharedRetryBudget(allowance, -allowance.windowMillis());
        budget.routers(routers);
    }

    /** Starts to tell its peers and to look at endpoints that are down. */
    void start(List<SimulatedRouter> all, double offsetMillis) {
        all.stream().filter(router -> router != this).forEach(peers::add);
        timeline.after(offsetMillis, this::tell);
        timeline.after(offsetMillis, this::look);
    }

    private void tell() {
        long now = timeline.millis();
        var work = inFlight.ownWork();
        var failing = health.failingInGroup(now);
        for (SimulatedRouter peer : peers) {
            timeline.after(NETWORK_MILLIS, () -> {
                peer.inFlight.recordPeerReport(id, WorkScope.GROUP, work, timeline.millis());
                peer.health.recordReportedFailing(failing, WorkScope.GROUP, timeline.millis());
            });
        }
        timeline.after(TELL_MILLIS, this::tell);
    }

    private void look() {
        for (ServiceEndpoint endpoint : fleet.all()) {
            EndpointHealth seen = health(endpoint);
            if (seen.tryBeginProbe(timeline.millis())) {
                connect(endpoint, () -> seen.connected(timeline.millis()), () -> seen.unreachable(timeline.millis()));
            }
        }
        timeline.after(LOOK_MILLIS, this::look);
    }

    /** Makes a connection, or finds out that none can be made. */
    void connect(ServiceEndpoint endpoint, Runnable connected, Runnable unreachable) {
        if (fleet.model(endpoint).isSilent()) {
            timeline.after(CONNECT_MILLIS, unreachable);
        } else {
            timeline.after(2 * NETWORK_MILLIS, connected);
        }
    }

    boolean does(Policy policy) {
        return policies.contains(policy);
    }

    /** Returns the endpoints of a service that take new work, as far as their rejections tell. */
    List<ServiceEndpoint> open(String service) {
        return fleet.open(service).stream().filter(this::admits).toList();
    }

    private boolean admits(ServiceEndpoint endpoint) {
        long now = timeline.millis();
        return does(Policy.GRADUAL_RETURN)
                ? backoffs.admits(endpoint.id(), now)
                : !backoffs.inForce(endpoint.id(), now);
    }

    /** Notes that an endpoint has rejected a request with Retry-After. */
    void rejected(ServiceEndpoint endpoint, long backoffMillis) {
        if (does(Policy.BACKOFF)) {
            double share = does(Policy.SPREAD_RETURN) ? share(endpoint) : 0;
            backoffs.rejected(endpoint.id(), Math.round(backoffMillis * (1 + share)), timeline.millis());
        }
    }

    /** This router's part of the time over which routers come back to an endpoint. */
    private double share(ServiceEndpoint endpoint) {
        return SPREAD * Math.floorMod(Rendezvous.mix(endpoint.hash(), Rendezvous.hash(id)), SHARES) / SHARES;
    }

    EndpointBackoffs backoffs() {
        return backoffs;
    }

    EndpointHealth health(ServiceEndpoint endpoint) {
        return health.of(endpoint.id(), timeline.millis());
    }

    EndpointHealthTracker healthTracker() {
        return health;
    }

    InFlightTracker inFlight() {
        return inFlight;
    }

    ResponseTimes responseTimes() {
        return responseTimes;
    }

    EndpointChooser chooser() {
        return chooser;
    }

    SharedRetryBudget budget() {
        return budget;
    }

    Fleet fleet() {
        return fleet;
    }

    Timeline timeline() {
        return timeline;
    }

    int routers() {
        return routers;
    }
}
