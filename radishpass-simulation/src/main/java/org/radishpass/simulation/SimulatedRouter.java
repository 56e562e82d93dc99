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

/**
 * A router of the simulation. Decisions are made by the production classes. Messages between routers and background
 * checks of endpoints are modelled.
 */
final class SimulatedRouter {
    /**
     * Milliseconds between messages to the peers, as in production fleets where every router sends messages to every
     * other router.
     */
    static final double PEER_MESSAGE_INTERVAL_MILLIS = 200;

    /** Milliseconds that a message takes from one process to another. */
    static final double NETWORK_DELAY_MILLIS = 1;

    /** Milliseconds after which an unanswered connection attempt fails, as in the production router. */
    static final double CONNECT_TIMEOUT_MILLIS = 350;

    /** Milliseconds between checks for endpoints that are due for a probe, as in the production router. */
    static final double PROBE_INTERVAL_MILLIS = 100;

    /** The maximum delay of a return after a backoff with {@link Policy#SPREAD_RETURN}, as a part of the backoff. */
    private static final double RETURN_SPREAD = 0.25;

    private static final int HASH_BUCKETS = 1_000;

    private final Timeline timeline;
    private final Fleet fleet;
    private final Set<Policy> policies;
    private final String id;
    private final int routerCount;
    private final InFlightTracker workInFlight = new InFlightTracker();
    private final EndpointHealthTracker health = new EndpointHealthTracker();
    private final EndpointBackoffs backoffs = new EndpointBackoffs();
    private final ResponseTimes responseTimes = new ResponseTimes();
    private final EndpointChooser chooser;
    private final SharedRetryBudget retryBudget;
    private final List<SimulatedRouter> peers = new ArrayList<>();

    SimulatedRouter(
            Timeline timeline,
            Fleet fleet,
            Set<Policy> policies,
            String id,
            int routerCount,
            RetryAllowance allowance) {
        this.timeline = timeline;
        this.fleet = fleet;
        this.policies = policies;
        this.id = id;
        this.routerCount = routerCount;
        this.chooser = new EndpointChooser(workInFlight, new DataCentre("dc"));
        this.retryBudget = new SharedRetryBudget(allowance, -2 * allowance.windowMillis());
        retryBudget.routers(routerCount, -2 * allowance.windowMillis());
    }

    /** Starts the periodic messages to the other routers and the periodic probes of endpoints that are down. */
    void start(List<SimulatedRouter> all, double offsetMillis) {
        all.stream().filter(router -> router != this).forEach(peers::add);
        timeline.schedule(offsetMillis, this::sendPeerMessages);
        timeline.schedule(offsetMillis, this::probeEndpoints);
    }

    private void sendPeerMessages() {
        long now = timeline.nowMillis();
        var ownWork = workInFlight.ownWork();
        var failing = health.failingInGroup(now);
        for (SimulatedRouter peer : peers) {
            timeline.schedule(NETWORK_DELAY_MILLIS, () -> {
                peer.workInFlight.recordPeerReport(id, WorkScope.GROUP, ownWork, timeline.nowMillis());
                peer.health.recordReportedFailing(failing, WorkScope.GROUP, timeline.nowMillis());
            });
        }
        timeline.schedule(PEER_MESSAGE_INTERVAL_MILLIS, this::sendPeerMessages);
    }

    private void probeEndpoints() {
        for (ServiceEndpoint endpoint : fleet.endpoints()) {
            EndpointHealth endpointHealth = health(endpoint);
            if (endpointHealth.tryBeginProbe(timeline.nowMillis())) {
                connect(
                        endpoint,
                        () -> endpointHealth.connected(timeline.nowMillis()),
                        () -> endpointHealth.unreachable(timeline.nowMillis()));
            }
        }
        timeline.schedule(PROBE_INTERVAL_MILLIS, this::probeEndpoints);
    }

    /** Opens a connection, and runs one of the two tasks when the connection is open or the attempt has failed. */
    void connect(ServiceEndpoint endpoint, Runnable connected, Runnable unreachable) {
        if (fleet.simulatedEndpoint(endpoint).isSilent()) {
            timeline.schedule(CONNECT_TIMEOUT_MILLIS, unreachable);
        } else {
            timeline.schedule(2 * NETWORK_DELAY_MILLIS, connected);
        }
    }

    boolean applies(Policy policy) {
        return policies.contains(policy);
    }

    /** Returns the endpoints of a service that are neither leaving nor held back after a rejection. */
    List<ServiceEndpoint> acceptingEndpoints(String service) {
        return fleet.acceptingEndpoints(service).stream()
                .filter(this::isAccepting)
                .toList();
    }

    private boolean isAccepting(ServiceEndpoint endpoint) {
        long now = timeline.nowMillis();
        return applies(Policy.GRADUAL_RETURN)
                ? backoffs.admits(endpoint.id(), now)
                : !backoffs.inForce(endpoint.id(), now);
    }

    /** Starts a backoff for an endpoint that has rejected a request with Retry-After. */
    void rejected(ServiceEndpoint endpoint, long backoffMillis) {
        if (applies(Policy.BACKOFF)) {
            double share = applies(Policy.SPREAD_RETURN) ? returnDelayShare(endpoint) : 0;
            backoffs.rejected(endpoint.id(), Math.round(backoffMillis * (1 + share)), timeline.nowMillis());
        }
    }

    /** Returns the delay of this router's return to an endpoint after a backoff, as a part of the backoff. */
    private double returnDelayShare(ServiceEndpoint endpoint) {
        return RETURN_SPREAD
                * Math.floorMod(Rendezvous.mix(endpoint.hash(), Rendezvous.hash(id)), HASH_BUCKETS)
                / HASH_BUCKETS;
    }

    EndpointBackoffs backoffs() {
        return backoffs;
    }

    EndpointHealth health(ServiceEndpoint endpoint) {
        return health.of(endpoint.id(), timeline.nowMillis());
    }

    EndpointHealthTracker healthTracker() {
        return health;
    }

    InFlightTracker workInFlight() {
        return workInFlight;
    }

    ResponseTimes responseTimes() {
        return responseTimes;
    }

    EndpointChooser chooser() {
        return chooser;
    }

    SharedRetryBudget retryBudget() {
        return retryBudget;
    }

    Fleet fleet() {
        return fleet;
    }

    Timeline timeline() {
        return timeline;
    }

    int routerCount() {
        return routerCount;
    }
}
