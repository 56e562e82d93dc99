package org.radishpass.routing.traffic;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.retry.RetryDecision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the decisions on retries to each service, and logs when the retry budget of a service is exhausted and when it is
 * available again. Confined to the traffic event loop; gauges read the last decision from other threads.
 */
final class RetryMonitor {
    /** Milliseconds without a denied retry after which the budget of a service counts as available. */
    static final long AVAILABLE_MILLIS = 2_000;

    private static final Logger LOG = LoggerFactory.getLogger(RetryMonitor.class);

    private final MeterRegistry metrics;
    private final Map<String, ServiceRetries> services = new HashMap<>();
    private volatile @Nullable RetryDecision last;

    RetryMonitor(MeterRegistry metrics) {
        this.metrics = metrics;
        Gauge.builder("radishpass.retries.routers", this, monitor -> monitor.lastRouters())
                .description("routers by which the fixed number of retries is divided, as of the last decision")
                .register(metrics);
        Gauge.builder("radishpass.retries.first.window", this, monitor -> monitor.lastInFirstWindow() ? 1 : 0)
                .description("1 if the last decision fell into the first window after the start of the process")
                .register(metrics);
    }

    private int lastRouters() {
        RetryDecision decision = last;
        return decision == null ? 0 : decision.routers();
    }

    private boolean lastInFirstWindow() {
        RetryDecision decision = last;
        return decision != null && decision.firstWindow();
    }

    /** Records a decision on a retry to a service. */
    void decided(String service, RetryDecision decision, long nowMillis) {
        last = decision;
        services.computeIfAbsent(service, name -> new ServiceRetries(name, metrics))
                .decided(decision, nowMillis);
    }

    /** Logs the services whose retry budget has become available again. */
    void checkAvailable(long nowMillis) {
        services.values().forEach(retries -> retries.checkAvailable(nowMillis));
    }

    /** The decisions on retries to one service. */
    private static final class ServiceRetries {
        private final String service;
        private final Counter granted;
        private final Counter denied;
        private volatile @Nullable RetryDecision last;
        private boolean exhausted;
        private long availableAtMillis;
        private long deniedWhileExhausted;

        private ServiceRetries(String service, MeterRegistry metrics) {
            this.service = service;
            this.granted = counter("granted", metrics);
            this.denied = counter("denied", metrics);
            Gauge.builder("radishpass.retries.spent", this, ServiceRetries::lastSpent)
                    .description("retries sent in the window that decided last")
                    .tag("service", service)
                    .register(metrics);
            Gauge.builder("radishpass.retries.limit", this, ServiceRetries::lastLimit)
                    .description("retries that this router may send in that window")
                    .tag("service", service)
                    .register(metrics);
        }

        private Counter counter(String decision, MeterRegistry metrics) {
            return Counter.builder("radishpass.retries")
                    .description("decisions on whether a request may be sent once more")
                    .tag("service", service)
                    .tag("decision", decision)
                    .register(metrics);
        }

        private double lastSpent() {
            RetryDecision decision = last;
            return decision == null ? 0 : decision.spent();
        }

        private double lastLimit() {
            RetryDecision decision = last;
            return decision == null ? 0 : decision.limit();
        }

        private void decided(RetryDecision decision, long nowMillis) {
            last = decision;
            if (decision.granted()) {
                granted.increment();
                return;
            }
            denied.increment();
            deniedWhileExhausted++;
            availableAtMillis = nowMillis + AVAILABLE_MILLIS;
            if (!exhausted) {
                exhausted = true;
                LOG.info(
                        "the retry budget for service {} is exhausted; requests that fail are not sent again for now",
                        service,
                        LogEvent.RETRIES_EXHAUSTED.field(),
                        kv("service", service),
                        kv("decision", decision.text()));
            }
        }

        private void checkAvailable(long nowMillis) {
            if (!exhausted || nowMillis < availableAtMillis) {
                return;
            }
            LOG.info(
                    "the retry budget for service {} is available again, after {} denied retries",
                    service,
                    deniedWhileExhausted,
                    LogEvent.RETRIES_AVAILABLE.field(),
                    kv("service", service),
                    kv("denied", deniedWhileExhausted));
            exhausted = false;
            deniedWhileExhausted = 0;
        }
    }
}
