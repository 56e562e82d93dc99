package org.radishpass.routing.traffic;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.admission.CapacityForecast;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealthTracker;
import org.radishpass.routing.health.ResponseTimes;
import org.radishpass.routing.load.InFlightTracker;
import org.radishpass.routing.placement.EndpointChooser;
import org.radishpass.routing.quarantine.Quarantine;
import org.radishpass.routing.reachability.ReachabilityMonitor;
import org.radishpass.routing.relay.Relay;
import org.radishpass.routing.report.FleetObservationTracker;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.report.ObservationSource;
import org.radishpass.routing.report.ServiceDemand;
import org.radishpass.routing.retry.RetryDecision;
import org.radishpass.routing.retry.SharedRetryBudget;
import org.radishpass.routing.stream.StreamOriginRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state and the components that all connections and requests of the traffic event loop share. Confined to the
 * traffic event loop.
 */
final class TrafficContext {
    /**
     * Milliseconds between checks of the requests that wait for the configuration or for a backoff to end; short
     * compared with a response time.
     */
    private static final long QUEUE_CHECK_MILLIS = 20;

    private static final Logger LOG = LoggerFactory.getLogger(TrafficContext.class);

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Supplier<RoutingView> views;
    private final RequestDialect dialect;
    private final EndpointConnections connections;
    private final EndpointSignals signals;
    private final EndpointChooser chooser;
    private final InFlightTracker inFlight;
    private final EndpointHealthTracker health;
    private final SharedRetryBudget retryBudget;
    private final RequestLog requestLog;
    private final EndpointListener listener;
    private final Set<CallerConnection> callers = new LinkedHashSet<>();
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private final RequestResolver resolver;
    private final RequestPlacer placer = new RequestPlacer(this);
    private final ColdEndpointGuard coldGuard = new ColdEndpointGuard(this);
    private final EndpointProber prober = new EndpointProber(this);
    private final EndpointExitDetector exitDetector = new EndpointExitDetector(new ExitHandler(this));
    private final Quarantine quarantine;
    private final FleetObservationTracker observations;
    private final ReachabilityMonitor reachability;
    private final Relay relay;
    private final ShareGuard shareGuard;
    private final StreamOriginRegistry streamOrigins;
    private final ResponseTimes responseTimes = new ResponseTimes();
    private final ArrivalQueue arrivalQueue;
    private final HeldArrivals heldArrivals;
    private final BackoffQueue backoffQueue;
    private @Nullable EndpointFilter currentFilter;
    private CapacityForecast capacityForecast = CapacityForecast.UNKNOWN;
    private final GracefulStop gracefulStop;

    TrafficContext(
            EventLoop loop,
            MonotonicClock clock,
            Supplier<RoutingView> views,
            RequestDialect dialect,
            EndpointConnections connections,
            EndpointSignals signals,
            EndpointChooser chooser,
            InFlightTracker inFlight,
            EndpointHealthTracker health,
            SharedRetryBudget retryBudget,
            RequestLog requestLog,
            EndpointListener listener,
            ReachabilityMonitor reachability,
            Relay relay) {
        this.loop = loop;
        this.clock = clock;
        this.gracefulStop = new GracefulStop(clock, responseTimes);
        this.views = views;
        this.dialect = dialect;
        this.resolver = new RequestResolver(dialect);
        this.connections = connections;
        this.signals = signals;
        this.chooser = chooser;
        this.observations = new FleetObservationTracker(
                ObservationSource.combined(List.of(chooser.performance(), this::ownObservations)));
        chooser.performance().fleetLoads(observations::loads);
        this.shareGuard = new ShareGuard(this);
        this.streamOrigins = new StreamOriginRegistry(loop, clock::millis, task -> {
            var unused = loop.schedule(task, StreamOriginRegistry.TELL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        });
        this.reachability = reachability;
        this.relay = relay;
        this.inFlight = inFlight;
        this.health = health;
        this.retryBudget = retryBudget;
        this.requestLog = requestLog;
        this.quarantine = new Quarantine(new QuarantineLog());
        this.quarantine.endpointVersions(hash -> view().directory().softwareVersion(hash));
        this.quarantine.trialElection(trial -> relay.peers().ranksFirst(trial, relay.routerId()));
        this.listener = listener;
        this.arrivalQueue = new ArrivalQueue(
                iteration -> {
                    var unused = loop.schedule(iteration, 0, TimeUnit.MILLISECONDS);
                },
                clock::millis);
        this.heldArrivals = new HeldArrivals(clock::millis, this::awaitsConfiguration, arrivalQueue::addAll, check -> {
            var unused = loop.schedule(check, QUEUE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        });
        this.backoffQueue = new BackoffQueue(clock::millis, check -> {
            var unused = loop.schedule(check, QUEUE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * Runs a task on the event loop repeatedly, with a fixed delay between runs. A task that throws an exception is
     * logged and runs again.
     */
    void scheduleRepeatedly(long millis, Runnable task) {
        var unused = loop.scheduleWithFixedDelay(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LOG.error("a periodic task of the traffic event loop failed; it will run again", e);
                    }
                },
                millis,
                millis,
                TimeUnit.MILLISECONDS);
    }

    long nowMillis() {
        return clock.millis();
    }

    RoutingView view() {
        return views.get();
    }

    RequestDialect dialect() {
        return dialect;
    }

    /** Returns what is known of the origins of streams. */
    StreamOriginRegistry streamOrigins() {
        return streamOrigins;
    }

    RequestResolver resolver() {
        return resolver;
    }

    RequestPlacer placer() {
        return placer;
    }

    /** Returns the limits on requests to endpoints that have just started. */
    ColdEndpointGuard coldGuard() {
        return coldGuard;
    }

    EndpointConnections connections() {
        return connections;
    }

    /** Returns a filter for the endpoints that requests may be sent to now. */
    EndpointFilter filter() {
        RoutingView current = view();
        EndpointFilter known = currentFilter;
        if (known == null || !known.selectsFrom(current)) {
            known = new EndpointFilter(current, signals);
            currentFilter = known;
        }
        return known;
    }

    /** Returns what endpoints have stated about themselves in their responses. */
    EndpointSignals signals() {
        return signals;
    }

    EndpointChooser chooser() {
        return chooser;
    }

    InFlightTracker inFlight() {
        return inFlight;
    }

    EndpointHealthTracker health() {
        return health;
    }

    ResponseTimes responseTimes() {
        return responseTimes;
    }

    EndpointProber prober() {
        return prober;
    }

    EndpointExitDetector exitDetector() {
        return exitDetector;
    }

    /** Returns the quarantine of requests that crash endpoints. */
    Quarantine quarantine() {
        return quarantine;
    }

    /** Combines what the parts of this router observe; each part supplies one of the lists. */
    private FleetObservations ownObservations(long nowMillis) {
        List<ServiceDemand> demand = shareGuard.demand(nowMillis);
        return demand.isEmpty() ? FleetObservations.NONE : new FleetObservations(demand, List.of());
    }

    /** Returns the shares of workspaces and urgencies in contended services. */
    ShareGuard shareGuard() {
        return shareGuard;
    }

    /** Returns the demand for services and the loads of endpoints that routers report to each other. */
    FleetObservationTracker observations() {
        return observations;
    }

    /** Returns what is known of the links between routers and endpoints. */
    ReachabilityMonitor reachability() {
        return reachability;
    }

    /** Returns what relays requests between this router and others. */
    Relay relay() {
        return relay;
    }

    SharedRetryBudget retryBudget() {
        return retryBudget;
    }

    /** Takes one retry from the retry budget if the budget allows it. */
    RetryDecision trySpendRetry(String service) {
        updateRetryShares();
        RetryDecision decision = retryBudget.trySpend(service, nowMillis());
        requestLog.retries().decided(service, decision, nowMillis());
        return decision;
    }

    /** Tells the retry budget by how many routers it is shared. */
    void updateRetryShares() {
        retryBudget.routers(connections.routerCount(), nowMillis());
    }

    ArrivalQueue arrivalQueue() {
        return arrivalQueue;
    }

    /** Returns the forecast of when services that are full have capacity again. */
    CapacityForecast capacityForecast() {
        return capacityForecast;
    }

    void capacityForecast(CapacityForecast forecast) {
        this.capacityForecast = forecast;
    }

    /** Returns the requests that arrived before the configuration was known. */
    HeldArrivals heldArrivals() {
        return heldArrivals;
    }

    /** Returns the requests that wait for a backoff to end. */
    BackoffQueue backoffQueue() {
        return backoffQueue;
    }

    private boolean awaitsConfiguration() {
        RoutingView view = view();
        return !view.complete() && view.receiving() && !gracefulStop.begun();
    }

    RequestLog requestLog() {
        return requestLog;
    }

    /** Notifies the control plane that another process has taken over the address of an endpoint. */
    void reportEndpointReplaced(ServiceEndpoint endpoint) {
        listener.addressTakenOver(endpoint);
    }

    Set<CallerConnection> callers() {
        return callers;
    }

    Set<Exchange> exchanges() {
        return exchanges;
    }

    /** Returns what decides which requests a router that stops still takes. */
    GracefulStop gracefulStop() {
        return gracefulStop;
    }
}
