package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.fairness.ServiceShares;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.health.EndpointHealthTracker;
import org.radishpass.routing.load.ColdStartAllowance;
import org.radishpass.routing.load.InFlightTracker;
import org.radishpass.routing.load.WorkReportExchange;
import org.radishpass.routing.performance.EndpointPerformance;
import org.radishpass.routing.performance.PlacementMethod;
import org.radishpass.routing.placement.EndpointChooser;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectExchange;
import org.radishpass.routing.quarantine.SuspectListener;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.reachability.ReachabilityMonitor;
import org.radishpass.routing.relay.Relay;
import org.radishpass.routing.relay.RelayServer;
import org.radishpass.routing.report.FleetObservationTracker;
import org.radishpass.routing.retry.RetryAllowance;
import org.radishpass.routing.retry.SharedRetryBudget;
import org.radishpass.routing.stream.StreamOriginExchange;

/**
 * Receives the requests of callers and serves them. Its state is confined to one event loop, the traffic event loop.
 * The methods may be called from any thread.
 *
 * @since 0.2.0
 */
public final class TrafficServer implements SuspectExchange {
    /**
     * Maximum number of connections that are accepted in one iteration of the event loop. Callers whose connections wait
     * in the operating system can neither be served nor told to go elsewhere.
     */
    private static final int MAX_ACCEPTS_PER_ITERATION = 64;

    /**
     * Milliseconds between checks for endpoints to probe; a fraction of the silence after which an endpoint is probed.
     */
    private static final long PROBE_INTERVAL_MILLIS = 100;

    /** Milliseconds between cleanups of connections close to their timeout, silent peers and other expired state. */
    private static final long CLEANUP_INTERVAL_MILLIS = 500;

    private static final int MAX_INITIAL_LINE = 8_192;
    private static final int MAX_CHUNK = 65_536;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Supplier<RoutingView> views;
    private final InFlightTracker inFlight = new InFlightTracker();
    private final EndpointHealthTracker health = new EndpointHealthTracker();
    private final SharedRetryBudget retryBudget;
    private final EndpointSignals signals;
    private final EndpointConnections connections;
    private final TrafficContext context;
    private final WorkReports workReports;
    private final RelayServer relayServer;
    private final List<Channel> listening = new ArrayList<>();
    private final StopProcedure stopProcedure;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the traffic event loop
     * @param clock the monotonic clock
     * @param views supplies the current view of the control plane
     * @param dialect translates request and response heads
     * @param home the data centre of this router
     * @param listener receives notifications about endpoints that follow from their responses; called on the traffic
     *     event loop
     * @param metrics the registry of the metrics
     */
    public TrafficServer(
            EventLoop loop,
            MonotonicClock clock,
            Supplier<RoutingView> views,
            RequestDialect dialect,
            DataCentre home,
            EndpointListener listener,
            MeterRegistry metrics) {
        this.loop = loop;
        this.clock = clock;
        this.views = views;
        this.retryBudget = new SharedRetryBudget(RetryAllowance.DEFAULT, clock.millis());
        RequestLog log = new RequestLog(metrics);
        this.signals = new EndpointSignals(clock, () -> views.get().directory(), log, listener, metrics);
        this.connections = new EndpointConnections(loop, dialect, health, signals, clock, views, metrics);
        ReachabilityMonitor reachability =
                new ReachabilityMonitor(health, () -> views.get().directory(), clock::millis);
        Relay relay = new Relay(loop, home, reachability.peers(), metrics);
        this.context = new TrafficContext(
                loop,
                clock,
                views,
                dialect,
                connections,
                signals,
                new EndpointChooser(inFlight, home),
                inFlight,
                health,
                retryBudget,
                log,
                listener,
                reachability,
                relay);
        this.relayServer = relay.server(
                () -> new CallerConnection(context), () -> views.get().limits().maxHeaderBytes());
        this.workReports = new WorkReports(context);
        this.stopProcedure = new StopProcedure(context, this::stopListening);
        Gauge.builder("radishpass.requests.active", context.exchanges(), java.util.Set::size)
                .description("requests in progress")
                .register(metrics);
        Gauge.builder("radishpass.requests.waiting", context.backoffQueue(), BackoffQueue::size)
                .description(
                        "requests that wait for the end of a backoff because an endpoint is expected to take them in time")
                .register(metrics);
        AdmissionMetrics.register(context.arrivalQueue(), clock, metrics);
        context.shareGuard().registerMetrics(metrics);
        reachability.registerMetrics(metrics);
        QuarantineMetrics.register(context.quarantine(), metrics);
        registerPlacementMetrics(metrics);
    }

    private void registerPlacementMetrics(MeterRegistry metrics) {
        EndpointChooser chooser = context.chooser();
        Gauge.builder("radishpass.endpoints.speed.known", chooser.performance(), EndpointPerformance::knownEndpoints)
                .description("endpoints whose slowdown is known, so that placement takes it into account")
                .register(metrics);
        FunctionCounter.builder("radishpass.placement.moved", chooser, EndpointChooser::movedPrompts)
                .description("placements at the second endpoint of a prompt because it was expected to be faster")
                .register(metrics);
        FunctionCounter.builder(
                        "radishpass.endpoint.loads.ignored", chooser.performance(), EndpointPerformance::invalidLoads)
                .tag("source", "answer")
                .description("loads of endpoints that were ignored because a figure is malformed or implausible")
                .register(metrics);
        FunctionCounter.builder(
                        "radishpass.endpoint.loads.ignored",
                        context.observations(),
                        FleetObservationTracker::ignoredLoads)
                .tag("source", "peer")
                .description("loads of endpoints that were ignored because a figure is malformed or implausible")
                .register(metrics);
    }

    /**
     * Starts to serve the callers of a socket.
     *
     * @param socket the listening socket
     * @return the channel that accepts connections, once it is registered
     */
    public CompletableFuture<Channel> serve(CallerSocket socket) {
        CompletableFuture<Channel> serving = new CompletableFuture<>();
        new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_ITERATION))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(
                                        MAX_INITIAL_LINE, views.get().limits().maxHeaderBytes(), MAX_CHUNK))
                                .addLast(new CallerConnection(context));
                    }
                })
                .register()
                .addListener((io.netty.channel.ChannelFuture registered) -> {
                    if (registered.isSuccess()) {
                        listening.add(registered.channel());
                        serving.complete(registered.channel());
                    } else {
                        serving.completeExceptionally(registered.cause());
                    }
                });
        context.scheduleRepeatedly(PROBE_INTERVAL_MILLIS, context.prober()::probeDue);
        context.scheduleRepeatedly(ServiceShares.REFRESH_MILLIS, context.shareGuard()::refresh);
        context.scheduleRepeatedly(CLEANUP_INTERVAL_MILLIS, this::cleanUp);
        return serving;
    }

    /**
     * Sets the name and the host under which other routers know this one. Before that, no requests are relayed to them.
     *
     * @param self this router
     * @since 0.9.0
     */
    public void identify(FleetRouter self) {
        loop.execute(() -> context.relay().identify(self.id(), self.address().host()));
    }

    /**
     * Starts to serve the requests that other routers relay to this one.
     *
     * @param address the address for other routers
     * @return the listening channel, once it is bound
     * @since 0.9.0
     */
    public CompletableFuture<Channel> serveRelayed(InetSocketAddress address) {
        return relayServer.bind(address);
    }

    /**
     * Sets the allowance for retries, which all routers share.
     *
     * @param allowance the allowance
     */
    public void retryAllowance(RetryAllowance allowance) {
        loop.execute(() -> retryBudget.allowance(allowance, clock.millis()));
    }

    /**
     * Sets the allowance for requests to cold endpoints, which all routers share.
     *
     * @param allowance the allowance
     * @since 0.6.0
     */
    public void coldStartAllowance(ColdStartAllowance allowance) {
        loop.execute(() -> context.coldGuard().shares().allowance(allowance));
    }

    /**
     * Sets how the listed address of an endpoint is translated into the one that this router connects to. A router
     * behind network address translation needs it; by default the addresses are the same.
     *
     * @param translation returns the address to connect to
     * @since 0.9.0
     */
    public void endpointAddresses(UnaryOperator<Address> translation) {
        loop.execute(() -> connections.addresses(translation));
    }

    /**
     * Sets the maximum backoff, which limits the Retry-After time of an endpoint that rejects requests.
     *
     * @param millis the maximum backoff, in milliseconds
     * @since 0.6.0
     */
    public void maxBackoffMillis(long millis) {
        loop.execute(() -> signals.backoffs().maxBackoffMillis(millis));
    }

    /**
     * Sets whether requests that cannot start at once are ordered and refused by admission. Otherwise they start newest
     * first.
     *
     * @param enabled whether admission is enabled
     * @since 0.8.0
     */
    public void admissionEnabled(boolean enabled) {
        loop.execute(() -> context.arrivalQueue().admissionEnabled(enabled));
    }

    /**
     * Enables or disables the shares of workspaces and urgencies in contended services.
     *
     * @param enabled whether requests to contended services are admitted by shares
     * @since 0.8.0
     */
    public void serviceShares(boolean enabled) {
        loop.execute(() -> context.shareGuard().enabled(enabled));
    }

    /**
     * Sets the method of placing requests where endpoints differ in speed.
     *
     * @param method the method
     * @since 0.8.0
     */
    public void placementMethod(PlacementMethod method) {
        loop.execute(() -> context.chooser().performance().method(method));
    }

    /** Returns the exchange of reports with other routers. */
    public WorkReportExchange workReports() {
        return workReports;
    }

    /**
     * Returns the exchange of what began streams with other routers.
     *
     * @since 0.10.0
     */
    public StreamOriginExchange streamOrigins() {
        return context.streamOrigins();
    }

    @Override
    public void mergeSuspects(SuspectReport report, String origin, Consumer<SuspectReport> newSuspects) {
        loop.execute(() -> {
            SuspectReport unknown = context.quarantine().merge(report, origin, clock.millis());
            if (!unknown.isEmpty()) {
                newSuspects.accept(unknown);
            }
        });
    }

    @Override
    public void mergeStoredSuspects(List<Suspect> suspects) {
        loop.execute(() -> context.quarantine().mergeStored(suspects, clock.millis()));
    }

    @Override
    public void suspects(Consumer<SuspectReport> consumer) {
        loop.execute(() -> consumer.accept(context.quarantine().all(clock.millis())));
    }

    @Override
    public void setSuspectListener(SuspectListener listener) {
        loop.execute(() -> context.quarantine().setSuspectListener(listener));
    }

    /**
     * Begins to stop the server. From now on each connection is closed after its next response, and requests that could not
     * end in time are refused. {@link #advanceStop} carries on.
     *
     * @param deadlines when the server goes from one step to the next; those of the first call hold
     * @since 0.12.0
     */
    public void beginStop(StopDeadlines deadlines) {
        loop.execute(() -> {
            context.gracefulStop().begin(deadlines);
            context.heldArrivals().releaseAll();
        });
    }

    /**
     * Takes the next step of a stop if it is due: first the server stops to listen and forwards no more requests, even if
     * their last bytes arrive before the process has ended; then it ends the requests that are still in progress.
     *
     * @param whenStopped called on the traffic event loop when the server has stopped, with the number of requests that had
     *     to be ended
     * @since 0.12.0
     */
    public void advanceStop(IntConsumer whenStopped) {
        loop.execute(() -> stopProcedure.advance(whenStopped));
    }

    private void stopListening() {
        relayServer.close();
        for (Channel channel : listening) {
            var unused = channel.close();
        }
    }

    private void cleanUp() {
        RoutingView view = views.get();
        long nowMillis = clock.millis();
        inFlight.removeExpiredReports(nowMillis);
        context.observations().removeExpiredReports(nowMillis);
        connections.closeUnusable(view.directory());
        health.retain(view.directory());
        signals.retain(view.directory());
        context.chooser().performance().retain(view.directory());
        context.exitDetector().removeExpired(nowMillis);
        context.quarantine().tidy(nowMillis);
        context.streamOrigins().removeExpired();
        context.coldGuard().shares().tidy(nowMillis);
        context.updateRetryShares();
        context.requestLog().retries().checkAvailable(nowMillis);
        long idleMillis = view.limits().idleTimeoutMillis();
        long headMillis = view.limits().headerTimeoutMillis();
        for (CallerConnection caller : new ArrayList<>(context.callers())) {
            long inactiveMillis = nowMillis - caller.inactiveSinceMillis();
            boolean idleTimeout = caller.idle() && inactiveMillis > idleMillis;
            boolean headTimeout = caller.receiving() && inactiveMillis > idleMillis + headMillis;
            if (idleTimeout || headTimeout) {
                caller.close();
            }
        }
    }
}
