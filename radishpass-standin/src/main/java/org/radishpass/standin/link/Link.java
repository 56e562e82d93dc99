package org.radishpass.standin.link;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
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
 * Passes connections on to a local port, unless it is cut.
 *
 * @since 0.1.0
 */
final class Link {
    private static final String HOST = "127.0.0.1";

    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private final LoopResources loops;
    private final int target;
    private final BooleanSupplier cut;
    private final DisposableServer server;

    Link(LoopResources loops, int target, BooleanSupplier cut) {
        this.loops = loops;
        this.target = target;
        this.cut = cut;
        this.server = TcpServer.create()
                .runOn(loops, false)
                .host(HOST)
                .port(0)
                .doOnConnection(this::opened)
                .handle(this::pass)
                .bindNow();
    }

    int port() {
        return server.port();
    }

    void dropIfCut() {
        if (cut.getAsBoolean()) {
            open.forEach(Connection::dispose);
        }
    }

    void close() {
        open.forEach(Connection::dispose);
        server.disposeNow(Duration.ofSeconds(1));
    }

    private void opened(Connection connection) {
        if (cut.getAsBoolean()) {
            connection.dispose();
            return;
        }
        open.add(connection);
        connection.onDispose(() -> open.remove(connection));
    }

    private Publisher<Void> pass(NettyInbound inbound, NettyOutbound outbound) {
        if (cut.getAsBoolean()) {
            return Mono.empty();
        }
        return TcpClient.newConnection()
                .runOn(loops, false)
                .host(HOST)
                .port(target)
                .connect()
                .flatMap(onward -> {
                    Mono<Void> there = onward.outbound()
                            .send(inbound.receive().retain(), buffer -> true)
                            .then();
                    Mono<Void> back = outbound.send(onward.inbound().receive().retain(), buffer -> true)
                            .then();
                    return Mono.firstWithSignal(there.onErrorComplete(), back.onErrorComplete())
                            .then()
                            .doFinally(signal -> onward.dispose());
                })
                .onErrorComplete();
    }
}
