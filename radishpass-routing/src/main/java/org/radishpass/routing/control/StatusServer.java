package org.radishpass.routing.control;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * Tells the balancer whether this process is ready, and serves its metrics.
 *
 * @since 0.2.0
 */
public final class StatusServer {
    private final LoopResources loops;
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loops the event loops
     * @param ready tells whether the process is ready
     * @param metrics gives the metrics as text
     */
    public StatusServer(LoopResources loops, BooleanSupplier ready, Supplier<String> metrics) {
        this.loops = loops;
        this.ready = ready;
        this.metrics = metrics;
    }

    /**
     * Answers questions for readiness with 200 or 503.
     *
     * @param address where
     * @param path the path that is asked for
     */
    public void serveReadiness(InetSocketAddress address, String path) {
        HttpServer.create()
                .runOn(loops, false)
                .bindAddress(() -> address)
                .route(routes -> routes.get(
                        path,
                        (request, response) -> response.status(
                                        ready.getAsBoolean()
                                                ? HttpResponseStatus.OK
                                                : HttpResponseStatus.SERVICE_UNAVAILABLE)
                                .send()))
                .bindNow();
    }

    /**
     * Serves the metrics.
     *
     * @param address where
     * @param path the path that is asked for
     */
    public void serveMetrics(InetSocketAddress address, String path) {
        HttpServer.create()
                .runOn(loops, false)
                .bindAddress(() -> address)
                .route(routes ->
                        routes.get(path, (request, response) -> response.sendString(Mono.fromSupplier(metrics))))
                .bindNow();
    }
}
