package org.radishpass.router;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.traffic.RouterTraffic;
import org.radishpass.router.internal.traffic.StopDeadlines;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.metrics.CountingHandler;
import org.radishpass.runtime.metrics.ProcessMetrics;
import org.radishpass.runtime.metrics.TrafficMeter;
import org.radishpass.runtime.settings.PortsFile;
import org.radishpass.tables.configuration.ConfigurationStore;
import org.radishpass.tables.once.ClaimStore;
import org.radishpass.tables.table.HttpTableService;
import org.radishpass.tables.vmlist.VmListClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.http.client.HttpClient;

/**
 * Runs one router process: the HTTP server for callers, the links to peers and the control state.
 *
 * @since 0.1.0
 */
public final class Router implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final String PLATFORM_TRAFFIC_KIND = "platform";

    private final RouterSettings settings;
    private final HttpRuntime runtime;
    private final HttpRuntime controlRuntime;
    private final RouterControl control;
    private final RouterTraffic traffic;

    /**
     * Starts a router: begins to listen for callers and peers and starts the periodic control work.
     *
     * @param settings the validated settings
     * @param clock the source of the current time
     * @throws IOException if the ports file cannot be written
     */
    public Router(RouterSettings settings, Clock clock) throws IOException {
        this.settings = settings;
        this.runtime = new HttpRuntime("router", settings.workers());
        this.controlRuntime = new HttpRuntime(ProcessMetrics.THREAD_PREFIX + "-io", 1);
        String incarnation = Long.toString(clock.millis(), Character.MAX_RADIX);
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        ProcessMetrics.register(metrics);
        TrafficMeter meter = new TrafficMeter(metrics);
        HttpClient platform = CountingHandler.countingClient(controlRuntime.client(), PLATFORM_TRAFFIC_KIND, meter);
        HttpTableService tables = new HttpTableService(platform, settings.platform(), PLATFORM_TIMEOUT);
        this.control = new RouterControl(
                settings,
                incarnation,
                controlRuntime,
                new ConfigurationStore(tables),
                new VmListClient(platform, settings.platform(), settings.dataCentre(), PLATFORM_TIMEOUT),
                metrics,
                meter,
                clock);
        this.traffic = new RouterTraffic(settings, runtime, control, new ClaimStore(tables), metrics, clock);
        control.start();
        writePortsFile(incarnation);
        LOG.info("router {} is listening for callers on {}:{}", settings.id(), settings.listen(), traffic.port());
    }

    /** Returns the port that callers connect to. */
    public int port() {
        return traffic.port();
    }

    /**
     * Drains and closes the router, so that no request is interrupted.
     *
     * <p>The router first reports that it is not ready, then waits until the platform's load balancer has noticed, then
     * waits for the requests in progress, up to the configured limit. In that time it refuses requests that may take longer
     * than the limit.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void stop() throws InterruptedException {
        control.announceLeaving();
        LOG.info("router {} is stopping; it waits for {} requests in progress", settings.id(), traffic.inProgress());
        int endedRequests = traffic.stop(StopDeadlines.of(
                System.nanoTime(),
                Duration.ofSeconds(settings.balancerSeconds()),
                Duration.ofSeconds(settings.drainSeconds())));
        LOG.info("router {} has stopped; it ended {} requests before their response", settings.id(), endedRequests);
        close();
    }

    @Override
    public void close() {
        traffic.close();
        control.close();
        controlRuntime.close();
        runtime.close();
    }

    private void writePortsFile(String incarnation) throws IOException {
        if (settings.portsFile() == null) {
            return;
        }
        Map<String, Object> ports = new LinkedHashMap<>();
        ports.put("id", settings.id());
        ports.put("incarnation", incarnation);
        ports.put("kind", "router");
        ports.put("dataCentre", settings.dataCentre().name());
        ports.put("host", settings.listen());
        ports.put("port", control.peers().port());
        ports.put("httpPort", traffic.port());
        PortsFile.write(settings.portsFile(), ports);
    }
}
