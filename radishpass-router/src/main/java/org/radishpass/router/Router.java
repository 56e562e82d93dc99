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
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.metrics.ControlCpu;
import org.radishpass.runtime.metrics.CountingHandler;
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
 * A running router.
 *
 * @since 0.1.0
 */
public final class Router implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final Duration PLATFORM_PATIENCE = Duration.ofSeconds(2);
    private static final String PLATFORM_KIND = "platform";
    private static final long STOP_POLL_MILLIS = 50;
    private static final long QUIET_MILLIS = 200;

    private final RouterSettings settings;
    private final HttpRuntime runtime;
    private final HttpRuntime controlRuntime;
    private final RouterControl control;
    private final RouterTraffic traffic;

    /**
     * Starts a router.
     *
     * @param settings its settings, checked
     * @param clock tells the time
     * @throws IOException if the ports file cannot be written
     */
    public Router(RouterSettings settings, Clock clock) throws IOException {
        this.settings = settings;
        this.runtime = new HttpRuntime("router", settings.workers());
        this.controlRuntime = new HttpRuntime(ControlCpu.THREAD_PREFIX + "-io", 1);
        String incarnation = Long.toString(clock.millis(), Character.MAX_RADIX);
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        ControlCpu.register(metrics);
        TrafficMeter meter = new TrafficMeter(metrics);
        HttpClient platform = CountingHandler.counted(controlRuntime.client(), PLATFORM_KIND, meter);
        HttpTableService tables = new HttpTableService(platform, settings.platform(), PLATFORM_PATIENCE);
        this.control = new RouterControl(
                settings,
                incarnation,
                controlRuntime,
                new ConfigurationStore(tables),
                new VmListClient(platform, settings.platform(), settings.dataCentre(), PLATFORM_PATIENCE),
                metrics,
                meter,
                clock);
        this.traffic = new RouterTraffic(settings, runtime, control, new ClaimStore(tables), metrics, clock);
        control.start();
        writePorts(incarnation);
        LOG.info("router {} serves callers on {}:{}", settings.id(), settings.listen(), traffic.port());
    }

    /** Returns the port for callers. */
    public int port() {
        return traffic.port();
    }

    /**
     * Stops without cutting a request: not ready first, then the balancer's time, then the requests in progress.
     *
     * @throws InterruptedException if the wait is broken off
     */
    public void stop() throws InterruptedException {
        control.leave();
        LOG.info("router {} is stopping with {} requests in progress", settings.id(), traffic.inProgress());
        Thread.sleep(Duration.ofSeconds(settings.balancerSeconds()).toMillis());
        long deadline =
                System.nanoTime() + Duration.ofSeconds(settings.drainSeconds()).toNanos();
        while (traffic.inProgress() > 0 && System.nanoTime() - deadline < 0) {
            Thread.sleep(STOP_POLL_MILLIS);
        }
        Thread.sleep(QUIET_MILLIS);
        close();
    }

    @Override
    public void close() {
        traffic.close();
        control.close();
        controlRuntime.close();
        runtime.close();
    }

    private void writePorts(String incarnation) throws IOException {
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
