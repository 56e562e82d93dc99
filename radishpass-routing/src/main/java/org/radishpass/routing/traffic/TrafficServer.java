package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.health.HealthBook;
import org.radishpass.routing.load.ColdStartAllowance;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.InFlightBook;
import org.radishpass.routing.load.WorkReport;
import org.radishpass.routing.load.WorkSource;
import org.radishpass.routing.placement.EndpointChooser;
import org.radishpass.routing.quarantine.Quarantine;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectListener;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.quarantine.SuspectSource;
import org.radishpass.routing.retry.RetryAllowance;
import org.radishpass.routing.retry.SharedRetryBudget;

/**
 * Takes callers' requests and serves them. All of its state belongs to one event loop, the traffic thread; its methods
 * may be called from any thread.
 *
 * @since 0.2.0
 */
public final class TrafficServer implements WorkSource, SuspectSource {
    /** Milliseconds between looks at endpoints: a fraction of the silence that is looked into. */
    private static final long LOOK_MILLIS = 100;

    /** Milliseconds between tidying: connections near their end, peers that fell silent. */
    private static final long TIDY_MILLIS = 500;

    private static final int MAX_INITIAL_LINE = 8_192;
    private static final int MAX_CHUNK = 65_536;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Supplier<RoutingView> views;
    private final InFlightBook book = new InFlightBook();
    private final HealthBook health = new HealthBook();
    private final SharedRetryBudget budget;
    private final EndpointSignals signals;
    private final EndpointConnections connections;
    private final TrafficTools tools;
    private final List<Channel> listening = new ArrayList<>();

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the traffic thread
     * @param clock the monotonic clock
     * @param views gives what the control side believes
     * @param dialect translates heads
     * @param home where this router stands
     * @param listener hears what answers tell of endpoints; called on the traffic thread
     * @param metrics where counters are kept
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
        this.budget = new SharedRetryBudget(RetryAllowance.DEFAULT, clock.millis());
        RequestLog log = new RequestLog(metrics);
        this.signals = new EndpointSignals(clock, () -> views.get().directory(), log, listener, metrics);
        this.connections = new EndpointConnections(loop, dialect, health, signals, clock, metrics);
        this.tools = new TrafficTools(
                loop,
                clock,
                views,
                dialect,
                connections,
                signals,
                new EndpointChooser(book, home),
                book,
                health,
                budget,
                log,
                listener);
        Gauge.builder("radishpass.requests.active", tools.exchanges(), java.util.Set::size)
                .description("requests in progress")
                .register(metrics);
        Gauge.builder("radishpass.requests.waiting", tools.backoffQueue(), BackoffQueue::size)
                .description(
                        "requests that wait for the end of a backoff because an endpoint is expected to take them in time")
                .register(metrics);
        Gauge.builder("radishpass.requests.quarantined", tools.quarantine(), Quarantine::held)
                .description("different requests that are refused because endpoints end when they run them")
                .register(metrics);
    }

    /**
     * Starts to serve the callers of a socket.
     *
     * @param socket the socket
     * @return the channel that accepts them, once it does
     */
    public CompletableFuture<Channel> serve(CallerSocket socket) {
        CompletableFuture<Channel> serving = new CompletableFuture<>();
        new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(
                                        MAX_INITIAL_LINE, views.get().limits().maxHeaderBytes(), MAX_CHUNK))
                                .addLast(new CallerConnection(tools));
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
        tools.every(LOOK_MILLIS, tools.watch()::look);
        tools.every(TIDY_MILLIS, this::tidy);
        return serving;
    }

    /**
     * Takes over what all routers may send again.
     *
     * @param allowance the allowance
     */
    public void retryAllowance(RetryAllowance allowance) {
        loop.execute(() -> budget.allowance(allowance));
    }

    /**
     * Takes over what all routers may send to endpoints that have just started.
     *
     * @param allowance the allowance
     * @since 0.6.0
     */
    public void coldStartAllowance(ColdStartAllowance allowance) {
        loop.execute(() -> tools.coldGuard().shares().allowance(allowance));
    }

    /**
     * Takes over for how long an endpoint that rejects requests is sent nothing at most, however much longer its Retry-After is.
     *
     * @param millis the time, in milliseconds
     * @since 0.6.0
     */
    public void longestBackoffMillis(long millis) {
        loop.execute(() -> signals.backoffs().longestMillis(millis));
    }

    @Override
    public void peerTold(String peerId, WorkScope scope, Map<String, InFlight> work, List<String> failing) {
        loop.execute(() -> {
            book.peerTold(peerId, scope, work, clock.millis());
            health.saidToFail(failing, scope, clock.millis());
        });
    }

    @Override
    public void workReport(List<String> members, boolean always, Consumer<WorkReport> taker) {
        loop.execute(() -> {
            boolean changed = !book.takeChanges().isEmpty();
            if (changed || always || !members.isEmpty()) {
                taker.accept(report(members));
            }
        });
    }

    @Override
    public void suspectsTold(SuspectReport report, String origin, Consumer<SuspectReport> news) {
        loop.execute(() -> {
            SuspectReport unknown = tools.quarantine().told(report, origin, clock.millis());
            if (!unknown.isEmpty()) {
                news.accept(unknown);
            }
        });
    }

    @Override
    public void suspectsRestored(List<Suspect> suspects) {
        loop.execute(() -> tools.quarantine().restored(suspects, clock.millis()));
    }

    @Override
    public void suspects(Consumer<SuspectReport> taker) {
        loop.execute(() -> taker.accept(tools.quarantine().all(clock.millis())));
    }

    @Override
    public void onSuspects(SuspectListener listener) {
        loop.execute(() -> tools.quarantine().onNews(listener));
    }

    private WorkReport report(List<String> members) {
        Map<String, Map<String, InFlight>> withoutMember = new LinkedHashMap<>();
        members.forEach(id -> withoutMember.put(id, book.workWithout(id)));
        long nowMillis = clock.millis();
        return new WorkReport(
                book.ownWork(),
                book.groupWork(),
                withoutMember,
                health.failingInGroup(nowMillis),
                health.failing(nowMillis));
    }

    /** From now on answers end their connections, and idle ones are closed after a while by {@link #closeIdle}. */
    public void stopping() {
        loop.execute(tools::stop);
    }

    /** From now on requests that could take long are refused, and connections without a request are closed. */
    public void refuseNew() {
        loop.execute(() -> {
            tools.refuseNew();
            closeIdle();
        });
    }

    /**
     * Ends it if nothing is in progress: from then on no request is passed on, also one whose last byte comes while the process ends, which
     * may take half a second where processor time is scarce.
     *
     * @param anyway whether it ends although requests are in progress
     * @param whenEnded called on the traffic thread when it has ended, with the number of requests in progress
     */
    public void endIfIdle(boolean anyway, IntConsumer whenEnded) {
        loop.execute(() -> {
            int active = tools.exchanges().size();
            if (active > 0 && !anyway) {
                return;
            }
            tools.end();
            tools.held().releaseAll();
            for (Channel channel : listening) {
                var unused = channel.close();
            }
            closeIdle();
            whenEnded.accept(active);
        });
    }

    private void closeIdle() {
        for (CallerConnection caller : new ArrayList<>(tools.callers())) {
            if (caller.idle()) {
                caller.close();
            }
        }
    }

    private void tidy() {
        RoutingView view = views.get();
        long nowMillis = clock.millis();
        book.forgetSilentPeers(nowMillis);
        connections.tidy(view.directory());
        health.retain(view.directory());
        signals.retain(view.directory());
        tools.ends().tidy(nowMillis);
        tools.quarantine().tidy(nowMillis);
        tools.coldGuard().shares().tidy(nowMillis);
        if (tools.refusing()) {
            closeIdle();
            return;
        }
        long idleMillis = view.limits().idleTimeoutMillis();
        long headMillis = view.limits().headerTimeoutMillis();
        for (CallerConnection caller : new ArrayList<>(tools.callers())) {
            long quietMillis = nowMillis - caller.quietSinceMillis();
            boolean idleTooLong = caller.idle() && quietMillis > idleMillis;
            boolean tooSlow = caller.receiving() && quietMillis > idleMillis + headMillis;
            if (idleTooLong || tooSlow) {
                caller.close();
            }
        }
    }
}
