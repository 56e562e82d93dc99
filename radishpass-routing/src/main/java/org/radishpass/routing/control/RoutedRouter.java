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
import org.radishpass.routing.traffic.TrafficServer;
import org.radishpass.runtime.metrics.TrafficMeter;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.ChannelBindException;
import reactor.netty.resources.LoopResources;

/**
 * A router of routed requests: one traffic thread, one control thread, and the peers.
 *
 * @since 0.2.0
 */
public final class RoutedRouter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RoutedRouter.class);

    /** How long until an address that is taken is tried again: a process that ends gives it back within that. */
    private static final Duration BIND_AGAIN = Duration.ofMillis(500);

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
        this.self = new FleetRouter(builder.peerAddress, builder.home, builder.cores);
        this.metrics = builder.metrics;
        EventLoop loop = loops.onServer(false).next();
        this.traffic = new TrafficServer(
                loop, MonotonicClock.SYSTEM, this::view, builder.dialect, builder.home, new AnswerNews(), metrics);
        this.start = new StartSequence(thread, traffic);
        this.control = new ControlPlane(
                thread,
                MonotonicClock.SYSTEM,
                builder.source,
                self,
                builder.decoder,
                traffic,
                traffic,
                builder.regions,
                metrics,
                start::serve);
    }

    /**
     * Starts to describe a router.
     *
     * @param loops the event loops; a router uses one
     * @param source the store
     * @param decoder reads configurations
     * @param dialect translates request and answer heads
     */
    public static Builder builder(
            LoopResources loops, ControlSource source, ConfigurationDecoder decoder, RequestDialect dialect) {
        return new Builder(loops, source, decoder, dialect);
    }

    /**
     * Starts it. Callers are served once a configuration and the endpoints are known, or after a while without them.
     *
     * @param callers where callers' requests come in
     * @param allowance what all routers may send again
     * @param seeds where other routers may listen for peers, known beforehand
     */
    public void start(CallerSocket callers, RetryAllowance allowance, List<Address> seeds) {
        traffic.retryAllowance(allowance);
        control.start();
        start.begin(callers, () -> meetPeers(seeds));
        LOG.info("the router has started", LogEvent.START.field(), kv("peers", self.id()));
    }

    private void meetPeers(List<Address> seeds) {
        PeerNode node;
        try {
            node = new PeerNode(
                    new InetSocketAddress(self.address().host(), self.address().port()),
                    loops,
                    control.handler(),
                    new TrafficMeter(metrics),
                    control::introduction);
        } catch (ChannelBindException e) {
            LOG.error("the address for peers {} cannot be bound; it is tried again", self.address(), e);
            thread.after(BIND_AGAIN, () -> meetPeers(seeds));
            return;
        }
        control.join(node, seeds);
    }

    /**
     * Waits until callers are served, or it is clear that they cannot be.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitServing() throws InterruptedException {
        start.awaitServing();
    }

    /** Tells whether it takes new callers. */
    public boolean ready() {
        return !stopping && view().complete();
    }

    /** Returns its traffic side. */
    public TrafficServer traffic() {
        return traffic;
    }

    /** From now on it is not ready, and asks callers to go elsewhere. */
    public void beginStop() {
        stopping = true;
        LOG.info("the router is stopping", LogEvent.STOP.field());
        traffic.stopping();
        control.leave();
    }

    /** Ends its control side, which would otherwise go on without the event loops that its caller closes. */
    @Override
    public void close() {
        thread.close();
    }

    private RoutingView view() {
        return control.view();
    }

    /** Tells the control side what answers tell of endpoints. */
    private final class AnswerNews implements EndpointListener {
        @Override
        public void gone(ServiceEndpoint endpoint) {
            control.gone(endpoint.id());
        }

        @Override
        public void leaving(ServiceEndpoint endpoint) {
            control.leaving(endpoint.id());
        }
    }

    /**
     * Describes a router.
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

        private Builder(
                LoopResources loops, ControlSource source, ConfigurationDecoder decoder, RequestDialect dialect) {
            this.loops = loops;
            this.source = source;
            this.decoder = decoder;
            this.dialect = dialect;
        }

        /** Sets where counters are kept. */
        public Builder metrics(MeterRegistry registry) {
            this.metrics = registry;
            return this;
        }

        /** Sets where it listens for peers. */
        public Builder peerAddress(Address address) {
            this.peerAddress = address;
            return this;
        }

        /** Sets where it stands. */
        public Builder home(DataCentre dataCentre) {
            this.home = dataCentre;
            return this;
        }

        /** Sets the processor time that it may use, in cores; larger routers do more for others. */
        public Builder cores(double count) {
            this.cores = count;
            return this;
        }

        /** Sets where data centres stand. */
        public Builder regions(RegionMap map) {
            this.regions = map;
            return this;
        }

        /** Returns the router, not yet started. */
        public RoutedRouter build() {
            return new RoutedRouter(this);
        }
    }
}
