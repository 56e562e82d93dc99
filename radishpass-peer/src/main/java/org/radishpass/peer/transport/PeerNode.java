package org.radishpass.peer.transport;

import io.netty.resolver.DefaultAddressResolverGroup;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.runtime.http.Shutdown;
import org.radishpass.runtime.metrics.TrafficMeter;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * The TCP server and client of a router for messages to and from its peers. The node accepts connections, and dials a
 * peer when there is a message to send.
 *
 * @since 0.1.0
 */
public final class PeerNode implements PeerLinks, AutoCloseable {
    private static final Duration DIAL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration REDIAL_DELAY = Duration.ofMillis(500);

    private final Set<PeerChannel> accepted = ConcurrentHashMap.newKeySet();
    private final LoopResources loops;
    private final PeerHandler handler;
    private final TrafficMeter meter;
    private final Supplier<PeerMessage> hello;
    private final ConcurrentHashMap<String, Link> links = new ConcurrentHashMap<>();
    private volatile DisposableServer server;

    /**
     * Creates a node and starts to listen.
     *
     * @param listen the address to listen on; not an {@link Address}, which does not allow the port 0
     * @param loops the event loops
     * @param handler handles the messages that peers send
     * @param meter counts the bytes sent and received
     * @param hello supplies the first message on each dialled connection
     */
    public PeerNode(
            java.net.InetSocketAddress listen,
            LoopResources loops,
            PeerHandler handler,
            TrafficMeter meter,
            Supplier<PeerMessage> hello) {
        this.loops = loops;
        this.handler = handler;
        this.meter = meter;
        this.hello = hello;
        this.server = TcpServer.create()
                .runOn(loops, false)
                .bindAddress(() -> listen)
                .doOnConnection(this::accept)
                .bindNow();
    }

    /** Returns the port on which this node listens. */
    public int port() {
        return server.port();
    }

    @Override
    public void send(Vm peer, PeerMessage message) {
        link(peer).channel().subscribe(channel -> channel.send(message), error -> {
            // a message without a response may be lost, and its caller does not wait for the outcome
        });
    }

    @Override
    public Mono<PeerMessage> fetch(Vm peer, PeerMessage message) {
        return link(peer).channel().flatMap(channel -> channel.fetch(message));
    }

    /**
     * Sends a request and returns the response of the peer. The result fails if no response arrives in time.
     *
     * @param peer the peer
     * @param message the request
     * @param timeout how long to wait for the response
     */
    public Mono<PeerMessage> request(Vm peer, PeerMessage message, Duration timeout) {
        return link(peer)
                .channel()
                .flatMap(channel -> channel.request(message, timeout))
                .timeout(timeout);
    }

    @Override
    public void closeLink(String peerId) {
        Link link = links.remove(peerId);
        if (link != null) {
            link.close();
        }
    }

    /**
     * Closes the links to peers that are no longer listed.
     *
     * @param keep tells whether the peer with a given id is listed
     */
    public void retainLinks(java.util.function.Predicate<String> keep) {
        links.entrySet().removeIf(entry -> {
            if (keep.test(entry.getKey())) {
                return false;
            }
            entry.getValue().close();
            return true;
        });
    }

    @Override
    public void close() {
        links.values().forEach(Link::close);
        accepted.forEach(PeerChannel::close);
        Shutdown.stop(server, "the server for peers", Duration.ofSeconds(1));
    }

    private void accept(Connection connection) {
        accepted.add(PeerChannel.attach(connection, null, handler, meter, this::acceptedChannelClosed));
    }

    /**
     * Handles the end of an accepted connection. The peer counts as disconnected only if no other connection to it is
     * open, because a peer that redials closes its old connection. Treating that as the end of the peer would make both
     * nodes close each other's connections in turn.
     */
    private void acceptedChannelClosed(PeerChannel ended) {
        accepted.remove(ended);
        String peerId = ended.peerId();
        Link link = links.get(peerId);
        boolean dialled = link != null && link.open();
        boolean otherAccepted = accepted.stream()
                .anyMatch(channel -> channel.open() && channel.peerId().equals(peerId));
        if (!peerId.isEmpty() && !dialled && !otherAccepted) {
            handler.disconnected(peerId);
        }
    }

    private Link link(Vm peer) {
        Link link = links.get(peer.id());
        if (link != null && link.address.equals(peer.peer())) {
            return link;
        }
        return links.compute(peer.id(), (id, old) -> {
            if (old != null && old.address.equals(peer.peer())) {
                return old;
            }
            if (old != null) {
                old.close();
            }
            return new Link(id, peer.peer());
        });
    }

    /** The dialled connection to one peer. It is opened on demand, and again after a loss. */
    private final class Link {
        private final String peerId;
        private final Address address;
        private Mono<PeerChannel> cachedDial = Mono.empty();
        private volatile @Nullable PeerChannel openedChannel;
        private boolean everDialled;
        private long nextDialNanos;

        private Link(String peerId, Address address) {
            this.peerId = peerId;
            this.address = address;
        }

        private synchronized Mono<PeerChannel> channel() {
            long now = System.nanoTime();
            if (!everDialled || now - nextDialNanos >= 0) {
                everDialled = true;
                nextDialNanos = Long.MAX_VALUE / 2 + now;
                cachedDial = dial().cache();
            }
            return cachedDial;
        }

        private Mono<PeerChannel> dial() {
            return TcpClient.newConnection()
                    .runOn(loops, false)
                    .resolver(DefaultAddressResolverGroup.INSTANCE)
                    .host(address.host())
                    .port(address.port())
                    .connect()
                    .timeout(DIAL_TIMEOUT)
                    .map(this::connected)
                    .doOnError(error -> {
                        scheduleRedial();
                        handler.unreachable(peerId);
                    })
                    .onErrorMap(
                            error -> new IOException("cannot connect to " + peerId + ": " + error.getMessage(), error));
        }

        private PeerChannel connected(Connection connection) {
            PeerChannel channel =
                    PeerChannel.attach(connection, peerId, handler, meter, ended -> dialledChannelClosed());
            openedChannel = channel;
            channel.send(hello.get());
            return channel;
        }

        /**
         * Handles the end of the dialled connection. Peers do not close connections that they accepted. If this node
         * did not close the connection either, its peer has ended.
         */
        private void dialledChannelClosed() {
            scheduleRedial();
            if (links.get(peerId) == this) {
                handler.disconnected(peerId);
            }
        }

        private boolean open() {
            PeerChannel channel = openedChannel;
            return channel != null && channel.open();
        }

        private synchronized void scheduleRedial() {
            nextDialNanos = System.nanoTime() + REDIAL_DELAY.toNanos();
        }

        private synchronized void close() {
            cachedDial.subscribe(PeerChannel::close, error -> {
                // the dial failed, so there is no channel to close
            });
        }
    }
}
