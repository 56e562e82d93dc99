package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.routing.dialect.RequestDialect;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.RegionMap;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.retry.RetryAllowance;
import org.radishpass.routing.traffic.CallerSocket;
import org.radishpass.routing.traffic.EndpointListener;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.routing.traffic.RoutingView;
import org.radishpass.routing.traffic.StopDeadlines;
import org.radishpass.routing.traffic.TrafficServer;
import org.radishpass.runtime.metrics.TrafficMeter;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.ChannelBindException;
import reactor.netty.resources.LoopResources;

/**
 * A router that forwards requests along configured routes. It has one thread for requests, one control thread, and
 * connections to its peers.
 *
 * @since 0.2.0
 */
public final class RoutedRouter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RoutedRouter.class);

    /**
     * Delay before binding a peer address that is in use is tried again. A process that ends releases its address
     * within that time.
     */
    private static final Duration BIND_RETRY_PAUSE = Duration.ofMillis(500);

    private final ControlThread thread = new ControlThread("control");
    private final LoopResources loops;
    private final FleetRouter self;
    private final ControlPlane control;
    private final TrafficServer traffic;
    private final MeterRegistry metrics;
    private final StartSequence start;
    private volatile boolean stopping;

    private RoutedRouter(Builder builder) {
        this.loops = builder.loops;
        this.self = new FleetRouter(
                builder.peerAddress, builder.home, builder.cores, builder.relayPort, FleetRouter.STREAM_VERSIONS_LEVEL);
        this.metrics = builder.metrics;
        EventLoop loop = loops.onServer(false).next();
        this.traffic = new TrafficServer(
                loop,
                MonotonicClock.SYSTEM,
                this::view,
                builder.dialect,
                builder.home,
                new ResponseStatementListener(),
                metrics);
        this.start = new StartSequence(thread, traffic);
        this.control = new ControlPlane(
                thread,
                MonotonicClock.SYSTEM,
                builder.source,
                self,
                builder.decoder,
                traffic.workReports(),
                traffic,
                traffic.streamOrigins(),
                builder.regions,
                metrics,
                start::serve);
    }

    /**
     * Returns a builder of a router.
     *
     * @param loops the event loops, of which a router uses one
     * @param source the store
     * @param decoder decodes configurations
     * @param dialect translates request and response heads
     */
    public static Builder builder(
            LoopResources loops, ControlSource source, ConfigurationDecoder decoder, RequestDialect dialect) {
        return new Builder(loops, source, decoder, dialect);
    }

    /**
     * Starts this router. Callers are served as soon as a configuration and the endpoints are known, or after a short
     * time without them.
     *
     * @param callers the socket for requests of callers
     * @param allowance how many retries all routers together may send
     * @param seeds addresses where other routers may listen for peers
     */
    public void start(CallerSocket callers, RetryAllowance allowance, List<Address> seeds) {
        traffic.retryAllowance(allowance);
        control.start();
        start.begin(callers, () -> joinPeers(seeds));
        LOG.info("the router has started", LogEvent.START.field(), kv("peers", self.id()));
    }

    private void joinPeers(List<Address> seeds) {
        PeerNode node;
        try {
            node = new PeerNode(
                    new InetSocketAddress(self.address().host(), self.address().port()),
                    loops,
                    control.handler(),
                    new TrafficMeter(metrics),
                    control::introduction);
        } catch (ChannelBindException e) {
            LOG.error("binding the peer address {} failed; the router tries again", self.address(), e);
            thread.scheduleAfter(BIND_RETRY_PAUSE, () -> joinPeers(seeds));
            return;
        }
        control.join(node, seeds);
        if (self.relays()) {
            traffic.identify(self);
            serveRelayedRequests();
        }
    }

    private void serveRelayedRequests() {
        InetSocketAddress address = new InetSocketAddress(self.address().host(), self.relayPort());
        var unused = traffic.serveRelayed(address).whenComplete((channel, error) -> {
            if (error != null) {
                LOG.error(
                        "binding port {} for relayed requests failed; the router tries again",
                        address.getPort(),
                        error);
                thread.scheduleAfter(BIND_RETRY_PAUSE, this::serveRelayedRequests);
            }
        });
    }

    /**
     * Waits until callers are served, or serving them has failed.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitServing() throws InterruptedException {
        start.awaitServing();
    }

    /** Tells whether this router accepts new callers. */
    public boolean ready() {
        return !stopping && view().complete();
    }

    /** Returns the server that handles callers' requests. */
    public TrafficServer traffic() {
        return traffic;
    }

    /**
     * Begins to stop. From now on this router is not ready, and asks callers to use another router.
     *
     * @param deadlines when the steps of the stop are due
     */
    public void beginStop(StopDeadlines deadlines) {
        stopping = true;
        LOG.info("the router is stopping", LogEvent.STOP.field());
        traffic.beginStop(deadlines);
        control.leave();
    }

    /**
     * Ends the control thread. Otherwise it would run on without the event loops, which the owner of this router
     * closes.
     */
    @Override
    public void close() {
        thread.close();
    }

    private RoutingView view() {
        return control.view();
    }

    /** Passes what responses state about endpoints to the control plane. */
    private final class ResponseStatementListener implements EndpointListener {
        @Override
        public void addressTakenOver(ServiceEndpoint endpoint) {
            control.addressTakenOver(endpoint.id());
        }

        @Override
        public void endpointLeaving(ServiceEndpoint endpoint) {
            control.endpointLeaving(endpoint.id());
        }
    }

    /**
     * Builds a router.
     *
     * @since 0.2.0
     */
    public static final class Builder {
        private final LoopResources loops;
        private final ControlSource source;
        private final ConfigurationDecoder decoder;
        private final RequestDialect dialect;
        private MeterRegistry metrics = new SimpleMeterRegistry();
        private Address peerAddress = new Address("127.0.0.1", 1);
        private DataCentre home = new DataCentre("unknown");
        private double cores = 1;
        private RegionMap regions = RegionMap.EMPTY;
        private int relayPort = FleetRouter.NO_RELAY;

        private Builder(
                LoopResources loops, ControlSource source, ConfigurationDecoder decoder, RequestDialect dialect) {
            this.loops = loops;
            this.source = source;
            this.decoder = decoder;
            this.dialect = dialect;
        }

        /** Sets the registry of the metrics. */
        public Builder metrics(MeterRegistry registry) {
            this.metrics = registry;
            return this;
        }

        /** Sets the address on which the router listens for peers. */
        public Builder peerAddress(Address address) {
            this.peerAddress = address;
            return this;
        }

        /** Sets the port on which the router accepts requests that other routers relay; by default it accepts none. */
        public Builder relayPort(int port) {
            this.relayPort = port;
            return this;
        }

        /** Sets the data centre of the router. */
        public Builder home(DataCentre dataCentre) {
            this.home = dataCentre;
            return this;
        }

        /** Sets the processor time that the router may use, in cores. Larger routers do more work for others. */
        public Builder cores(double count) {
            this.cores = count;
            return this;
        }

        /** Sets the region of each data centre. */
        public Builder regions(RegionMap map) {
            this.regions = map;
            return this;
        }

        /** Returns a router that has not been started. */
        public RoutedRouter build() {
            return new RoutedRouter(this);
        }
    }
}
