package org.radishpass.routing.control;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/**
 * Serves the readiness of this process to the load balancer, and its metrics.
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
     * @param ready returns whether the process is ready
     * @param metrics returns the metrics as text
     */
    public StatusServer(LoopResources loops, BooleanSupplier ready, Supplier<String> metrics) {
        this.loops = loops;
        this.ready = ready;
        this.metrics = metrics;
    }

    /**
     * Starts to answer readiness checks with status 200 or 503.
     *
     * @param address the address to listen on
     * @param path the path of the readiness check
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
     * Starts to serve the metrics.
     *
     * @param address the address to listen on
     * @param path the path of the metrics
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
