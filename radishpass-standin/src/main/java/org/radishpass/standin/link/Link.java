package org.radishpass.standin.link;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.radishpass.runtime.http.Shutdown;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.NettyOutbound;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * TCP proxy to a local port. Refuses and closes connections while the link is cut.
 *
 * @since 0.1.0
 */
final class Link {
    private static final String HOST = "127.0.0.1";

    private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();
    private final LoopResources loops;
    private final int targetPort;
    private final BooleanSupplier isCut;
    private final DisposableServer server;

    Link(LoopResources loops, int targetPort, BooleanSupplier isCut) {
        this.loops = loops;
        this.targetPort = targetPort;
        this.isCut = isCut;
        this.server = TcpServer.create()
                .runOn(loops, false)
                .host(HOST)
                .port(0)
                .doOnConnection(this::onConnection)
                .handle(this::forward)
                .bindNow();
    }

    int port() {
        return server.port();
    }

    void closeConnectionsIfCut() {
        if (isCut.getAsBoolean()) {
            openConnections.forEach(Connection::dispose);
        }
    }

    void close() {
        openConnections.forEach(Connection::dispose);
        Shutdown.stop(server, "the server of the link", Duration.ofSeconds(1));
    }

    private void onConnection(Connection connection) {
        if (isCut.getAsBoolean()) {
            connection.dispose();
            return;
        }
        openConnections.add(connection);
        connection.onDispose(() -> openConnections.remove(connection));
    }

    private Publisher<Void> forward(NettyInbound inbound, NettyOutbound outbound) {
        if (isCut.getAsBoolean()) {
            return Mono.empty();
        }
        return TcpClient.newConnection()
                .runOn(loops, false)
                .host(HOST)
                .port(targetPort)
                .connect()
                .flatMap(upstream -> {
                    Mono<Void> toTarget = upstream.outbound()
                            .send(inbound.receive().retain(), buffer -> true)
                            .then();
                    Mono<Void> fromTarget = outbound.send(
                                    upstream.inbound().receive().retain(), buffer -> true)
                            .then();
                    return Mono.firstWithSignal(toTarget.onErrorComplete(), fromTarget.onErrorComplete())
                            .then()
                            .doFinally(signal -> upstream.dispose());
                })
                .onErrorComplete();
    }
}
