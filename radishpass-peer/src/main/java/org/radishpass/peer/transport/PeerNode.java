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
import org.radishpass.runtime.metrics.TrafficMeter;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * A router's end of the links to its peers: it listens, and dials each peer when there is something to send.
 *
 * @since 0.1.0
 */
public final class PeerNode implements PeerLinks, AutoCloseable {
    private static final Duration DIAL_PATIENCE = Duration.ofMillis(500);
    private static final Duration DIAL_AGAIN = Duration.ofMillis(500);

    private final Set<PeerChannel> accepted = ConcurrentHashMap.newKeySet();
    private final LoopResources loops;
    private final PeerHandler handler;
    private final TrafficMeter meter;
    private final Supplier<PeerMessage> hello;
    private final ConcurrentHashMap<String, Link> links = new ConcurrentHashMap<>();
    private volatile DisposableServer server;

    /**
     * Creates a node and listens.
     *
     * @param listen where to listen; the port 0 cannot be given here, see the address's rules
     * @param loops the event loops
     * @param handler takes what peers send
     * @param meter counts the bytes
     * @param hello gives the first message on each connection
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

    /** Returns the port it listens on. */
    public int port() {
        return server.port();
    }

    @Override
    public void send(Vm peer, PeerMessage message) {
        link(peer).channel().subscribe(channel -> channel.send(message), error -> {
            // the caller of a message without an answer does not wait to hear of its loss
        });
    }

    @Override
    public Mono<PeerMessage> fetch(Vm peer, PeerMessage message) {
        return link(peer).channel().flatMap(channel -> channel.fetch(message));
    }

    /**
     * Sends a message and waits for its answer; it ends in an error when none comes in time.
     *
     * @param peer the peer
     * @param message the message
     * @param patience how long to wait
     */
    public Mono<PeerMessage> request(Vm peer, PeerMessage message, Duration patience) {
        return link(peer)
                .channel()
                .flatMap(channel -> channel.request(message, patience))
                .timeout(patience);
    }

    @Override
    public void drop(String peerId) {
        Link link = links.remove(peerId);
        if (link != null) {
            link.close();
        }
    }

    /**
     * Closes the links to peers that are no longer listed.
     *
     * @param keep tells of a peer's identity whether it is listed
     */
    public void retain(java.util.function.Predicate<String> keep) {
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
        server.disposeNow(Duration.ofSeconds(1));
    }

    private void accept(Connection connection) {
        accepted.add(PeerChannel.on(connection, null, handler, meter, this::acceptedEnded));
    }

    /**
     * A peer has closed one of its connections to this node. It is still there if another one is open: a peer that dials anew
     * closes the old connection. Were that taken for its end, the two would close each other's connections in turn.
     */
    private void acceptedEnded(PeerChannel ended) {
        accepted.remove(ended);
        String peerId = ended.peerId();
        Link link = links.get(peerId);
        boolean dialled = link != null && link.open();
        boolean other = accepted.stream()
                .anyMatch(channel -> channel.open() && channel.peerId().equals(peerId));
        if (!peerId.isEmpty() && !dialled && !other) {
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

    /** The dialled connection to one peer, made when needed and again when lost. */
    private final class Link {
        private final String peerId;
        private final Address address;
        private Mono<PeerChannel> current = Mono.empty();
        private volatile @Nullable PeerChannel opened;
        private boolean dialled;
        private long nextDialNanos;

        private Link(String peerId, Address address) {
            this.peerId = peerId;
            this.address = address;
        }

        private synchronized Mono<PeerChannel> channel() {
            long now = System.nanoTime();
            if (!dialled || now - nextDialNanos >= 0) {
                dialled = true;
                nextDialNanos = Long.MAX_VALUE / 2 + now;
                current = dial().cache();
            }
            return current;
        }

        private Mono<PeerChannel> dial() {
            return TcpClient.newConnection()
                    .runOn(loops, false)
                    .resolver(DefaultAddressResolverGroup.INSTANCE)
                    .host(address.host())
                    .port(address.port())
                    .connect()
                    .timeout(DIAL_PATIENCE)
                    .map(this::connected)
                    .doOnError(error -> {
                        lost();
                        handler.unreachable(peerId);
                    })
                    .onErrorMap(error -> new IOException("no link to " + peerId + ": " + error.getMessage(), error));
        }

        private PeerChannel connected(Connection connection) {
            PeerChannel channel = PeerChannel.on(connection, peerId, handler, meter, ended -> ended());
            opened = channel;
            channel.send(hello.get());
            return channel;
        }

        /** Peers leave connections open that others dialled: one that ends and was not dropped here means that its peer has ended. */
        private void ended() {
            lost();
            if (links.get(peerId) == this) {
                handler.disconnected(peerId);
            }
        }

        private boolean open() {
            PeerChannel channel = opened;
            return channel != null && channel.open();
        }

        private synchronized void lost() {
            nextDialNanos = System.nanoTime() + DIAL_AGAIN.toNanos();
        }

        private synchronized void close() {
            current.subscribe(PeerChannel::close, error -> {
                // nothing to close
            });
        }
    }
}
