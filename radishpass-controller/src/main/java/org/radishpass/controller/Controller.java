package org.radishpass.controller;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.radishpass.controller.internal.ControllerLoop;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.http.Shutdown;
import org.radishpass.runtime.settings.PortsFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * A controller process with its HTTP server.
 *
 * @since 0.1.0
 */
public final class Controller implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final int OK = 200;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(3);

    private final HttpRuntime runtime = new HttpRuntime("controller", 1);
    private final ControllerLoop loop;
    private final DisposableServer server;

    /**
     * Starts the reconciliation loop and the HTTP server, and writes the ports file if one is configured.
     *
     * @param settings the validated settings of the controller
     * @param clock the source of the wall-clock time
     * @throws IOException if the ports file cannot be written
     */
    public Controller(ControllerSettings settings, Clock clock) throws IOException {
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        this.loop = new ControllerLoop(settings, runtime, metrics, clock);
        this.server = runtime.server(settings.listen(), settings.port())
                .route(routes -> routes.get(
                                "/healthz",
                                (request, response) -> HttpJson.send(response, OK, Map.of("status", "alive")))
                        .get("/metrics", (request, response) -> response.sendString(Mono.fromCallable(metrics::scrape)))
                        .get(
                                "/v1/status",
                                (request, response) ->
                                        loop.status().flatMap(status -> Mono.from(HttpJson.send(response, OK, status))))
                        .get(
                                "/v1/history",
                                (request, response) -> loop.history()
                                        .flatMap((List<Map<String, Object>> history) ->
                                                Mono.from(HttpJson.send(response, OK, history)))))
                .bindNow();
        loop.start();
        if (settings.portsFile() != null) {
            PortsFile.write(
                    settings.portsFile(),
                    Map.of(
                            "id",
                            settings.id(),
                            "kind",
                            "controller",
                            "host",
                            settings.listen(),
                            "port",
                            server.port()));
        }
        LOG.info("controller {} started", settings.id());
    }

    /** Releases the leases, so that other controllers can acquire them at once, and closes this controller. */
    public void stop() {
        loop.releaseLeases().block(STOP_TIMEOUT);
        close();
    }

    @Override
    public void close() {
        Shutdown.stop(server, "the status server", STOP_TIMEOUT);
        loop.close();
        runtime.close();
    }
}
