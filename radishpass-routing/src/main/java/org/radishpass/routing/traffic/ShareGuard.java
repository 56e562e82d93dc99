package org.radishpass.routing.traffic;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.UnaryOperator;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fairness.DemandCheck;
import org.radishpass.routing.fairness.ServiceLoad;
import org.radishpass.routing.fairness.ServiceShares;
import org.radishpass.routing.fairness.ShareDecision;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.QueueLimit;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.report.ServiceDemand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the requests of this router with the shares of workspaces and urgencies in contended services, and logs when
 * services become contended. Confined to the traffic event loop.
 */
final class ShareGuard {
    /** The outcome of a request that is refused by its share. */
    static final String BEYOND_SHARE = "the service is contended and the share of the workspace and urgency is used up";

    /**
     * Milliseconds between reports of demand. Reports of work in flight are sent each 100 ms; with the demand of 48
     * classes in each, a gatherer of 23 members would send 5 Mbit/s.
     */
    private static final long DEMAND_REPORT_MILLIS = 250;

    /** Milliseconds between log lines about impossible figures. */
    private static final long IMPOSSIBLE_LOG_MILLIS = 10_000;

    private static final Logger LOG = LoggerFactory.getLogger(ShareGuard.class);

    private final TrafficContext context;
    private final ServiceShares shares;
    private Set<String> loggedContended = Set.of();
    private boolean enabled = true;
    private long nextDemandReportMillis = Long.MIN_VALUE;
    private long nextImpossibleLogMillis = Long.MIN_VALUE;
    private long refusals;
    private long impossibleReports;
    private long loggedImpossibleReports;

    ShareGuard(TrafficContext context) {
        this.context = context;
        this.shares = new ServiceShares(
                context.observations(), this::load, ThreadLocalRandom.current().nextLong());
    }

    void registerMetrics(MeterRegistry metrics) {
        Gauge.builder(
                        "radishpass.services.contended",
                        shares,
                        known -> known.contendedServices().size())
                .description("services whose requests are admitted by shares because capacity is lacking")
                .register(metrics);
        FunctionCounter.builder("radishpass.share.refusals", this, guard -> guard.refusals)
                .description("requests refused because the share of their workspace and urgency was used up")
                .register(metrics);
        FunctionCounter.builder("radishpass.demand.impossible", this, guard -> guard.impossibleReports)
                .description(
                        "reports of demand by other routers that were not used because their figures are impossible")
                .register(metrics);
    }

    /** Enables or disables the shares. */
    void enabled(boolean newEnabled) {
        enabled = newEnabled;
        shares.enabled(newEnabled);
    }

    /** Returns the demand at this router for contended services. */
    List<ServiceDemand> demand(long nowMillis) {
        return shares.source().observations(nowMillis).demand();
    }

    void arrived(RequestTerms terms) {
        if (enabled) {
            shares.arrived(terms.service(), terms.requestClass(), context.nowMillis());
        }
    }

    void sent(RequestTerms terms) {
        if (enabled) {
            shares.sent(terms.service(), terms.requestClass(), context.nowMillis());
        }
    }

    void completed(RequestTerms terms) {
        if (enabled) {
            shares.completed(terms.service(), terms.requestClass(), context.nowMillis());
        }
    }

    /** Records that a request has been refused for lack of capacity. */
    void refused(RequestTerms terms) {
        if (enabled) {
            shares.refused(terms.service(), terms.requestClass(), context.nowMillis());
        }
    }

    /** Records that an endpoint has rejected a request without running it. */
    void rejected(RequestTerms terms) {
        if (enabled) {
            shares.rejected(terms.service(), context.nowMillis());
        }
    }

    /** Decides whether a request is admitted. */
    ShareDecision decide(RequestTerms terms) {
        ShareDecision decision = shares.decide(terms.service(), terms.requestClass(), context.nowMillis());
        refusals += decision.admitted() ? 0 : 1;
        return decision;
    }

    /** Returns the time until there is capacity for a request that was refused by its share, in milliseconds. */
    long millisUntilCapacity(RequestTerms terms) {
        return shares.millisUntilCapacity(terms.service(), terms.requestClass());
    }

    /** Updates the shares, and logs which services have become contended or are no longer. */
    void refresh() {
        shares.refresh(context.view().routers(), context.nowMillis());
        Set<String> contended = Set.copyOf(shares.contendedServices());
        if (!contended.equals(loggedContended)) {
            Set<String> changed = new HashSet<>(contended);
            changed.addAll(loggedContended);
            for (String service : changed) {
                if (contended.contains(service) != loggedContended.contains(service)) {
                    LOG.info(
                            "service {} {}",
                            service,
                            contended.contains(service)
                                    ? "is contended; its requests are admitted by shares"
                                    : "is no longer contended; all its requests are admitted",
                            LogEvent.SHARES.field(),
                            kv("service", service),
                            kv("contended", contended.contains(service)));
                }
            }
            loggedContended = contended;
        }
    }

    /** Returns reported observations without their demand if it has impossible figures. */
    FleetObservations checked(String peerId, FleetObservations reported) {
        if (DemandCheck.possible(reported.demand())) {
            return reported;
        }
        impossibleReports++;
        long nowMillis = context.nowMillis();
        if (nowMillis >= nextImpossibleLogMillis) {
            nextImpossibleLogMillis = nowMillis + IMPOSSIBLE_LOG_MILLIS;
            LOG.warn(
                    "router {} reported demand with impossible figures; its previous report stays in force until it expires",
                    peerId,
                    LogEvent.DEMAND_IMPOSSIBLE.field(),
                    kv("dropped", impossibleReports - loggedImpossibleReports));
            loggedImpossibleReports = impossibleReports;
        }
        return DemandCheck.withoutDemand(reported);
    }

    /** Returns what is applied to the observations of a report, which removes the demand if it is not due. */
    UnaryOperator<FleetObservations> reportFilter(long nowMillis) {
        if (nowMillis < nextDemandReportMillis) {
            return DemandCheck::withoutDemand;
        }
        nextDemandReportMillis = nowMillis + DEMAND_REPORT_MILLIS;
        return UnaryOperator.identity();
    }

    private ServiceLoad load(String service) {
        List<ServiceEndpoint> endpoints =
                context.health().usable(context.filter().eligible(service), context.nowMillis());
        QueueLimit limit = QueueLimit.of(context.view()
                .configuration()
                .flatMap(configuration -> configuration.service(service))
                .orElse(null));
        int slots = 0;
        int requests = 0;
        double maxRequests = 0;
        for (ServiceEndpoint endpoint : endpoints) {
            slots += endpoint.slots();
            requests += context.inFlight().at(endpoint.id()).requests();
            maxRequests += limit.requests(endpoint.slots());
        }
        return new ServiceLoad(slots, requests, maxRequests);
    }
}
