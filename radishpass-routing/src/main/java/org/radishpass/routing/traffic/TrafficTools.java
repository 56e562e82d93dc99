package org.radishpass.routing.traffic;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.AnswerPatience;
import org.radishpass.routing.health.HealthBook;
import org.radishpass.routing.load.InFlightBook;
import org.radishpass.routing.placement.EndpointChooser;
import org.radishpass.routing.quarantine.AtWork;
import org.radishpass.routing.quarantine.Quarantine;
import org.radishpass.routing.retry.SharedRetryBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the connections and requests of the traffic thread share. All of it belongs to that thread. */
final class TrafficTools {
    /** Milliseconds between looks at requests that wait for the configuration, or for an endpoint: small beside an answer. */
    private static final long HELD_LOOK_MILLIS = 20;

    private static final Logger LOG = LoggerFactory.getLogger(TrafficTools.class);

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Supplier<RoutingView> views;
    private final RequestDialect dialect;
    private final EndpointConnections connections;
    private final EndpointSignals signals;
    private final EndpointChooser chooser;
    private final InFlightBook book;
    private final HealthBook health;
    private final SharedRetryBudget budget;
    private final RequestLog log;
    private final EndpointListener listener;
    private final Set<CallerConnection> callers = new LinkedHashSet<>();
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private final RequestResolver resolver;
    private final RequestPlacer placer = new RequestPlacer(this);
    private final ColdEndpointGuard coldGuard = new ColdEndpointGuard(this);
    private final EndpointWatch watch = new EndpointWatch(this);
    private final EndpointEnds ends = new EndpointEnds(this::endpointEnded);
    private final Quarantine quarantine;
    private final AnswerPatience patience = new AnswerPatience();
    private final ArrivalQueue arrivals;
    private final HeldArrivals held;
    private final BackoffQueue backoffQueue;
    private boolean stopping;
    private boolean refusing;
    private boolean ended;

    TrafficTools(
            EventLoop loop,
            MonotonicClock clock,
            Supplier<RoutingView> views,
            RequestDialect dialect,
            EndpointConnections connections,
            EndpointSignals signals,
            EndpointChooser chooser,
            InFlightBook book,
            HealthBook health,
            SharedRetryBudget budget,
            RequestLog log,
            EndpointListener listener) {
        this.loop = loop;
        this.clock = clock;
        this.views = views;
        this.dialect = dialect;
        this.resolver = new RequestResolver(dialect);
        this.connections = connections;
        this.signals = signals;
        this.chooser = chooser;
        this.book = book;
        this.health = health;
        this.budget = budget;
        this.log = log;
        this.quarantine = new Quarantine(log);
        this.listener = listener;
        this.arrivals = new ArrivalQueue(
                pass -> {
                    var unused = loop.schedule(pass, 0, TimeUnit.MILLISECONDS);
                },
                clock::millis);
        this.held = new HeldArrivals(clock::millis, this::awaitsConfiguration, arrivals::addAll, look -> {
            var unused = loop.schedule(look, HELD_LOOK_MILLIS, TimeUnit.MILLISECONDS);
        });
        this.backoffQueue = new BackoffQueue(clock::millis, look -> {
            var unused = loop.schedule(look, HELD_LOOK_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    EventLoop loop() {
        return loop;
    }

    /** Runs a task on the traffic thread again and again, with a pause between. */
    void every(long millis, Runnable task) {
        var unused = loop.scheduleWithFixedDelay(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LOG.error("a task of the traffic thread failed; it runs again", e);
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

    RequestResolver resolver() {
        return resolver;
    }

    RequestPlacer placer() {
        return placer;
    }

    /** Returns what keeps endpoints that have just started from more than they bear. */
    ColdEndpointGuard coldGuard() {
        return coldGuard;
    }

    EndpointConnections connections() {
        return connections;
    }

    /** Returns which endpoints requests may go to now. */
    EndpointFilter filter() {
        return new EndpointFilter(view(), signals);
    }

    /** Returns what endpoints have stated of themselves in their answers. */
    EndpointSignals signals() {
        return signals;
    }

    EndpointChooser chooser() {
        return chooser;
    }

    InFlightBook book() {
        return book;
    }

    HealthBook health() {
        return health;
    }

    AnswerPatience patience() {
        return patience;
    }

    EndpointWatch watch() {
        return watch;
    }

    EndpointEnds ends() {
        return ends;
    }

    /** Returns which requests are kept from endpoints because they end them. */
    Quarantine quarantine() {
        return quarantine;
    }

    /** An endpoint that had said that it leaves has ended by itself, which says nothing of the requests at work there. */
    private void endpointEnded(ServiceEndpoint endpoint, List<AtWork> atWork) {
        log.endpointEnded(endpoint, atWork);
        if (!filter().leaving(endpoint)) {
            quarantine.ended(endpoint.service(), endpoint.hash(), atWork, nowMillis());
        }
    }

    SharedRetryBudget budget() {
        return budget;
    }

    /** Takes one request out of the retry budget if it allows. */
    boolean takeRetry(String service) {
        budget.routers(view().routers());
        return budget.trySpend(service, nowMillis());
    }

    ArrivalQueue arrivals() {
        return arrivals;
    }

    /** Returns the requests that came before the configuration. */
    HeldArrivals held() {
        return held;
    }

    /** Returns the requests that wait for the end of a backoff. */
    BackoffQueue backoffQueue() {
        return backoffQueue;
    }

    private boolean awaitsConfiguration() {
        RoutingView view = view();
        return !view.complete() && view.arriving() && !ended;
    }

    RequestLog log() {
        return log;
    }

    /** Tells the control side that another start has taken an endpoint's address. */
    void reportGone(ServiceEndpoint endpoint) {
        listener.gone(endpoint);
    }

    Set<CallerConnection> callers() {
        return callers;
    }

    Set<Exchange> exchanges() {
        return exchanges;
    }

    /** Tells whether answers end their connections, because the process is stopping. */
    boolean stopping() {
        return stopping;
    }

    void stop() {
        stopping = true;
    }

    /** Tells whether new requests are refused, because they could not end before the process does. */
    boolean refusing() {
        return refusing;
    }

    /** Tells whether no request is passed on any more, because the process ends. */
    boolean ended() {
        return ended;
    }

    void end() {
        refusing = true;
        ended = true;
    }

    void refuseNew() {
        refusing = true;
    }
}
