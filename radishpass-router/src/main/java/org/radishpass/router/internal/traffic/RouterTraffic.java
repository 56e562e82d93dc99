package org.radishpass.router.internal.traffic;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Clock;
import org.radishpass.core.admission.WorkspaceLimiter;
import org.radishpass.router.RouterSettings;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.endpoint.EndpointClient;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.tables.once.ClaimStore;

/**
 * Creates and connects the components that serve callers' requests.
 *
 * @since 0.1.0
 */
public final class RouterTraffic implements AutoCloseable {
    private final TrafficMetrics trafficMetrics;
    private final CallerServer server;
    private final StopProcedure stopProcedure;

    /**
     * Creates the components and begins to listen for callers.
     *
     * @param settings the router's settings
     * @param runtime the event loops and HTTP client for callers' requests
     * @param control the router's control state
     * @param claims the store of claims on idempotency keys
     * @param metrics the registry for metrics
     * @param clock the source of the current time
     */
    public RouterTraffic(
            RouterSettings settings,
            HttpRuntime runtime,
            RouterControl control,
            ClaimStore claims,
            PrometheusMeterRegistry metrics,
            Clock clock) {
        this.trafficMetrics = new TrafficMetrics(metrics);
        PassiveHealth health = new PassiveHealth(clock);
        SlotClient slotClient = new SlotClient(control, clock);
        GracefulStop gracefulStop = new GracefulStop(clock, System::nanoTime);
        this.stopProcedure = new StopProcedure(gracefulStop, trafficMetrics::inProgress);
        TrafficComponents components = new TrafficComponents(
                new Placer(control, slotClient, health, gracefulStop, clock),
                new EndpointClient(runtime.client(), clock, gracefulStop.ended()),
                new Retries.Factory(health, clock),
                new WorkspaceLimiter(),
                trafficMetrics,
                new RefusalWriter(trafficMetrics),
                new DecisionLog(),
                new CallerAuthenticator(control, clock),
                gracefulStop,
                clock);
        TicketService tickets = new TicketService(control, clock);
        this.server = new CallerServer(
                runtime,
                settings.listen(),
                settings.port(),
                components,
                new AtMostOnceGuard(claims, tickets, clock),
                tickets,
                control,
                metrics);
    }

    /** Returns the port that callers connect to. */
    public int port() {
        return server.port();
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return trafficMetrics.inProgress();
    }

    /**
     * Refuses requests that may outlast this router, and waits for those in progress.
     *
     * @param deadlines when the steps of the stop are due
     * @return the number of requests that had to be ended
     * @throws InterruptedException if the thread is interrupted while it waits
     * @since 0.12.0
     */
    public int stop(StopDeadlines deadlines) throws InterruptedException {
        return stopProcedure.run(deadlines);
    }

    @Override
    public void close() {
        server.close();
    }
}
