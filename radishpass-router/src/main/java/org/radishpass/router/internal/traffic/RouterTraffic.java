package org.radishpass.router.internal.traffic;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Clock;
import org.radishpass.core.admission.WorkspaceGate;
import org.radishpass.router.RouterSettings;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.endpoint.EndpointClient;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.tables.once.ClaimStore;

/**
 * The traffic side of a router, put together.
 *
 * @since 0.1.0
 */
public final class RouterTraffic implements AutoCloseable {
    private final TrafficMetrics trafficMetrics;
    private final CallerServer server;

    /**
     * Creates it and listens for callers.
     *
     * @param settings the router's settings
     * @param runtime event loops and clients
     * @param control the router's control state
     * @param claims claims of non-idempotent requests
     * @param metrics where metrics are kept
     * @param clock tells the time
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
        SlotClient slots = new SlotClient(control, clock);
        TrafficTools tools = new TrafficTools(
                new Placer(control, slots, health, clock),
                new EndpointClient(runtime.client(), clock),
                new Retries.Source(health, clock),
                new WorkspaceGate(),
                trafficMetrics,
                new RefusalWriter(trafficMetrics),
                new DecisionLog(),
                new CallerIdentity(control, clock),
                clock);
        TicketDesk tickets = new TicketDesk(control, clock);
        this.server = new CallerServer(
                runtime,
                settings.listen(),
                settings.port(),
                tools,
                new OnceGuard(claims, tickets, clock),
                tickets,
                control,
                metrics);
    }

    /** Returns the port for callers. */
    public int port() {
        return server.port();
    }

    /** Returns the requests in progress. */
    public int inProgress() {
        return trafficMetrics.inProgress();
    }

    @Override
    public void close() {
        server.close();
    }
}
