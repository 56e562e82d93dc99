package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import jdk.net.ExtendedSocketOptions;
import org.radishpass.core.fleet.Address;
import org.radishpass.routing.connection.ConnectionCap;
import org.radishpass.routing.connection.RouterCount;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.exchange.DesynchronizationMonitor;
import org.radishpass.routing.exchange.ResponsePipeline;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealthTracker;

/**
 * Establishes the connections to endpoints and owns the connection pools. Confined to the traffic event loop.
 *
 * @since 0.2.0
 */
final class EndpointConnections {
    /**
     * Connect timeout in milliseconds. A lost SYN packet is retransmitted only after a second, so another endpoint is
     * the faster choice; within a region a connection takes less than 10 ms.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 350;

    /** Seconds without received bytes before the first TCP keep-alive probe, and between probes. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    private final EventLoop loop;
    private final Supplier<RoutingView> views;
    private final Bootstrap bootstrap;
    private final RequestDialect dialect;
    private final EndpointHealthTracker health;
    private final EndpointSignals signals;
    private final MonotonicClock clock;
    private final Counter opened;
    private final Counter reused;
    private final Counter refusedByShare;
    private final Counter resetByCap;
    private final Counter unmatchedResponses;
    private final DesynchronizationMonitor monitor;
    private final Map<String, EndpointPool> pools = new HashMap<>();
    private final Set<String> retired = new HashSet<>();
    private final RouterCount routerCount = new RouterCount();
    private UnaryOperator<Address> addresses = UnaryOperator.identity();

    EndpointConnections(
            EventLoop loop,
            RequestDialect dialect,
            EndpointHealthTracker health,
            EndpointSignals signals,
            MonotonicClock clock,
            Supplier<RoutingView> views,
            MeterRegistry metrics) {
        this.loop = loop;
        this.views = views;
        this.dialect = dialect;
        this.health = health;
        this.signals = signals;
        this.clock = clock;
        this.opened = counter("opened", "connections made to endpoints", metrics);
        this.reused = counter("reused", "requests that were sent on an idle connection to their endpoint", metrics);
        this.refusedByShare = counter(
                "refused",
                "requests that were not sent because this router's share of the endpoint's connections was in use",
                metrics);
        this.resetByCap =
                counter("reset", "connections that endpoints reset, most likely because they held too many", metrics);
        this.unmatchedResponses = Counter.builder("radishpass.endpoint.foreign.answers")
                .description("answers that belonged to no waiting request and were dropped")
                .register(metrics);
        this.monitor = new DesynchronizationMonitor(metrics);
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ResponsePipeline.add(channel.pipeline());
                    }
                });
    }

    /** Sets how the listed address of an endpoint is translated into the one to connect to. */
    void addresses(UnaryOperator<Address> translation) {
        addresses = translation;
    }

    /** Returns what records bytes that belong to no response. */
    DesynchronizationMonitor monitor() {
        return monitor;
    }

    RequestDialect dialect() {
        return dialect;
    }

    long nowMillis() {
        return clock.millis();
    }

    EndpointPool pool(ServiceEndpoint endpoint) {
        return pools.computeIfAbsent(
                endpoint.id(), id -> new EndpointPool(this, endpoint, health.of(id, clock.millis())));
    }

    /** Opens a connection that the pool has counted against the router's share. */
    void connect(EndpointPool pool, ConnectionCallback callback) {
        Address address = addresses.apply(pool.endpoint().address());
        ChannelFuture connecting = bootstrap.connect(new InetSocketAddress(address.host(), address.port()));
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                pool.connectFailed(ConnectFailure.of(future.cause()), callback);
                return;
            }
            opened.increment();
            EndpointConnection connection = new EndpointConnection(pool, connecting.channel());
            connecting.channel().pipeline().addLast(connection);
            connecting.channel().closeFuture().addListener(closed -> pool.slotFreed());
            pool.connected(connection, callback);
        });
    }

    /** Returns the largest number of routers that was known recently, this router included; 0 before any is known. */
    int routerCount() {
        return routerCount.update(views.get().members().count(), clock.millis());
    }

    /** Returns the cap on the connections to each endpoint of a service. */
    ConnectionCap cap(String service) {
        RoutingView view = views.get();
        int routers = routerCount();
        return view.configuration()
                .flatMap(configuration -> configuration.service(service))
                .map(spec -> new ConnectionCap(spec.maxConnections(), routers))
                .orElse(ConnectionCap.NONE);
    }

    /** Runs a task on the event loop after a delay in milliseconds. */
    void schedule(long millis, Runnable task) {
        var unused = loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    void countReused() {
        reused.increment();
    }

    void countRefusedByShare() {
        refusedByShare.increment();
    }

    void countResetByCap() {
        resetByCap.increment();
    }

    private static Counter counter(String name, String description, MeterRegistry metrics) {
        return Counter.builder("radishpass.endpoint.connections." + name)
                .description(description)
                .register(metrics);
    }

    /**
     * Closes the idle connections to endpoints that are leaving or no longer listed, and those that the endpoint is
     * about to close.
     */
    void closeUnusable(EndpointDirectory directory) {
        long nowMillis = clock.millis();
        retired.clear();
        pools.forEach((id, pool) -> {
            boolean open =
                    directory.find(id).map(endpoint -> !endpoint.leaving()).orElse(false);
            if (open) {
                pool.closeExpired(nowMillis);
            } else {
                retired.add(id);
                pool.closeIdle();
            }
        });
        pools.keySet().removeIf(id -> directory.find(id).isEmpty());
    }

    /** Tells whether connections to the endpoint are no longer pooled, because it is leaving or no longer listed. */
    boolean retired(String endpointId) {
        return retired.contains(endpointId) || !pools.containsKey(endpointId);
    }

    void headReceived(ServiceEndpoint endpoint, ResponseHead head) {
        signals.headReceived(endpoint, head);
    }

    void countUnmatchedResponse() {
        unmatchedResponses.increment();
    }
}
