package org.radishpass.routing.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.exchange.ResponsePipeline;
import org.radishpass.routing.fleet.FleetRouter;

/**
 * Relays requests to other routers, and keeps idle connections to them for later requests. Confined to the traffic event
 * loop.
 *
 * @since 0.9.0
 */
public final class RelayClient {
    /** Connect timeout in milliseconds; many round trips, and less than the retransmission of a lost first packet. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** Seconds without received bytes before the first TCP keep-alive probe, and between probes. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    /** The maximum number of idle connections to one router. */
    private static final int MAX_IDLE = 16;

    private final RelayPeers peers;
    private final Bootstrap bootstrap;
    private final Map<String, Deque<RelayConnection>> idle = new HashMap<>();
    private long calls;

    RelayClient(EventLoop loop, String localHost, RelayPeers peers) {
        this.peers = peers;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .localAddress(localHost, 0)
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

    /**
     * Relays a request to another router.
     *
     * @param router the other router
     * @param terms what is handed on with the request
     * @param request the head of the request, without the caller's key and without hop-by-hop headers
     * @param body the body of the request, which is not consumed
     * @param listener receives the course of the request
     */
    public RelayCall send(
            FleetRouter router, RelayTerms terms, HttpRequest request, ByteBuf body, RelayListener listener) {
        peers.started(router.id());
        RelayCall call = new RelayCall(head(request, terms), body, listener, () -> peers.ended(router.id()));
        RelayConnection reusable = pollIdle(router.id());
        if (reusable != null) {
            reusable.send(call);
        } else {
            connect(router, call);
        }
        return call;
    }

    private HttpRequest head(HttpRequest request, RelayTerms terms) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        HttpHeaders headers = head.headers();
        headers.set(request.headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        RelayHeaders.encode(terms, headers);
        calls++;
        headers.set(RelayHeaders.CALL, Long.toString(calls));
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        HttpUtil.set100ContinueExpected(head, true);
        return head;
    }

    private @Nullable RelayConnection pollIdle(String routerId) {
        Deque<RelayConnection> connections = idle.getOrDefault(routerId, new ArrayDeque<>());
        RelayConnection connection = connections.pollFirst();
        while (connection != null && !connection.open()) {
            connection = connections.pollFirst();
        }
        return connection;
    }

    private void connect(FleetRouter router, RelayCall call) {
        ChannelFuture connecting =
                bootstrap.connect(new InetSocketAddress(router.address().host(), router.relayPort()));
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                call.notRead("connection to the router failed: " + done.cause());
                return;
            }
            RelayConnection connection =
                    new RelayConnection(connecting.channel(), unused -> keepIdle(router.id(), unused));
            connecting.channel().pipeline().addLast(connection);
            if (call.ended()) {
                keepIdle(router.id(), connection);
            } else {
                connection.send(call);
            }
        });
    }

    private void keepIdle(String routerId, RelayConnection connection) {
        Deque<RelayConnection> connections = idle.computeIfAbsent(routerId, id -> new ArrayDeque<>());
        if (connections.size() < MAX_IDLE) {
            connections.addFirst(connection);
        } else {
            connection.close();
        }
    }

    /** Closes the idle connections, because the router stops or reaches the endpoints itself. */
    public void closeIdle() {
        idle.values().forEach(connections -> connections.forEach(RelayConnection::close));
        idle.clear();
    }
}
