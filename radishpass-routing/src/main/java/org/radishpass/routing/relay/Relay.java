package org.radishpass.routing.relay;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.reachability.PartitionTable;

/**
 * Relays requests between this router and others. Confined to the traffic event loop.
 *
 * @since 0.9.0
 */
public final class Relay {
    private final RelayPeers peers;
    private final RelayGate gate;
    private final EventLoop loop;
    private RelayClient client;
    private String routerId = "";

    /**
     * Creates the parts that relay requests; nothing is relayed until {@link #identify} has been called.
     *
     * @param loop the traffic event loop
     * @param home the data centre of this router
     * @param partitions the services that other routers do not reach
     * @param metrics the registry of the metrics
     */
    public Relay(EventLoop loop, DataCentre home, PartitionTable partitions, MeterRegistry metrics) {
        this.loop = loop;
        this.peers = new RelayPeers(home, partitions, new SplittableRandom());
        this.gate = new RelayGate(peers, metrics);
        this.client = new RelayClient(loop, "0.0.0.0", peers);
        Gauge.builder("radishpass.relay.relaying", peers, RelayPeers::inProgress)
                .description("requests in progress that this router relays to others")
                .register(metrics);
    }

    /**
     * Sets the name and the host under which other routers know this one.
     *
     * @param id the id of this router
     * @param host the host from which connections to other routers originate
     */
    public void identify(String id, String host) {
        routerId = id;
        client = new RelayClient(loop, host, peers);
    }

    /** Returns the id of this router; empty if it has none and relays nothing. */
    public String routerId() {
        return routerId;
    }

    /** Returns the other routers to which requests can be relayed. */
    public RelayPeers peers() {
        return peers;
    }

    /** Returns the client that relays requests to other routers. */
    public RelayClient client() {
        return client;
    }

    /**
     * Creates the server for requests that other routers relay to this one.
     *
     * @param requestHandlers creates the handler of the requests of a connection
     * @param maxHeaderBytes supplies the maximum size of a request head, in bytes
     */
    public RelayServer server(Supplier<ChannelHandler> requestHandlers, IntSupplier maxHeaderBytes) {
        return new RelayServer(loop, gate, requestHandlers, maxHeaderBytes);
    }
}
