package org.radishpass.runtime.http;

import java.time.Duration;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * The event loops and the connection pool of a process.
 *
 * @since 0.1.0
 */
public final class HttpRuntime implements AutoCloseable {
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(20);

    /** The time to wait for the end of the pool, and of the event loops. A stop has a grace period of 8 s. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(3);

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_CONNECTIONS = 2_000;
    private static final int MAX_PENDING_ACQUIRES = 4_000;

    private final String name;
    private final Duration closeTimeout;
    private final LoopResources loops;
    private final ConnectionProvider pool;

    /**
     * Creates the event loops and the pool.
     *
     * @param name the prefix of the thread names and the name of the pool
     * @param workers the number of event loops
     */
    public HttpRuntime(String name, int workers) {
        this(name, workers, CLOSE_TIMEOUT);
    }

    HttpRuntime(String name, int workers, Duration closeTimeout) {
        this.name = name;
        this.closeTimeout = closeTimeout;
        this.loops = LoopResources.create(name, workers, true);
        this.pool = ConnectionProvider.builder(name)
                .maxConnections(MAX_CONNECTIONS)
                .pendingAcquireMaxCount(MAX_PENDING_ACQUIRES)
                .pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
                .maxIdleTime(MAX_IDLE_TIME)
                .lifo()
                .build();
    }

    /** Returns the event loops. */
    public LoopResources loops() {
        return loops;
    }

    /**
     * Returns an HTTP client that never retries a request by itself, and takes nothing but what was received for a
     * request as its response.
     *
     * @see ResponseBoundary
     * @see HttpClient#disableRetry(boolean)
     */
    public HttpClient client() {
        return ResponseBoundary.boundedClient(HttpClient.create(pool))
                .runOn(loops, false)
                .disableRetry(true)
                .option(io.netty.channel.ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Returns an HTTP server that is not bound yet.
     *
     * @param host the address to listen on
     * @param port the port; 0 selects a free port
     */
    public HttpServer server(String host, int port) {
        return HttpServer.create().runOn(loops, false).host(host).port(port);
    }

    /** Closes the pool and ends the event loops. Those that do not end in time are logged; their threads are daemons. */
    @Override
    public void close() {
        Shutdown.await(pool.disposeLater(), "the connection pool " + name, closeTimeout);
        Shutdown.await(loops.disposeLater(Duration.ZERO, closeTimeout), "the event loops " + name, closeTimeout);
    }
}
