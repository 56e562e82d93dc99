package org.radishpass.routing.reachability;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealthTracker;
import org.radishpass.routing.health.EndpointLink;
import org.radishpass.routing.health.LinkEvidence;
import org.radishpass.routing.health.LinkState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors which services this router does not reach, and which its peers do not reach by their own reports. Confined to
 * the traffic thread.
 *
 * @since 0.9.0
 */
public final class ReachabilityMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(ReachabilityMonitor.class);
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EndpointHealthTracker health;
    private final Supplier<EndpointDirectory> directory;
    private final LongSupplier clock;
    private final PartitionTable peers = new PartitionTable();
    private final Map<String, UnreachedService> unreached = new LinkedHashMap<>();
    private boolean changed;
    private boolean peersChanged;

    /**
     * Creates a monitor that has observed nothing.
     *
     * @param health the health of the endpoints
     * @param directory supplies the current endpoints
     * @param clock the monotonic clock, in milliseconds
     */
    public ReachabilityMonitor(
            EndpointHealthTracker health, Supplier<EndpointDirectory> directory, LongSupplier clock) {
        this.health = health;
        this.directory = directory;
        this.clock = clock;
    }

    /**
     * Registers the metrics of this monitor.
     *
     * @param metrics the registry
     */
    public void registerMetrics(MeterRegistry metrics) {
        for (LinkEvidence evidence : LinkEvidence.values()) {
            if (evidence.state() == LinkState.UNREACHED) {
                Gauge.builder("radishpass.endpoints.unreached", this, monitor -> monitor.unreachedEndpoints(evidence))
                        .tag("evidence", evidence.text())
                        .description("endpoints that this router does not reach, by what showed it")
                        .register(metrics);
            }
        }
        Gauge.builder("radishpass.services.unreached", unreached, Map::size)
                .description("services of which this router reaches no endpoint")
                .register(metrics);
        Gauge.builder("radishpass.services.unreached.seconds", this, ReachabilityMonitor::longestSeconds)
                .description("time for which this router has reached no endpoint of a service; the longest of all")
                .register(metrics);
        Gauge.builder("radishpass.peers.partitioned", peers, PartitionTable::size)
                .description("other routers that have reported services of which they reach no endpoint")
                .register(metrics);
    }

    /** Determines again which services are not reached, and logs what has changed. */
    public void refresh() {
        long nowMillis = clock.getAsLong();
        peers.removeExpired(nowMillis);
        if (health.allHealthy(nowMillis) && unreached.isEmpty()) {
            return;
        }
        Set<String> services = new LinkedHashSet<>();
        directory.get().all().forEach(endpoint -> services.add(endpoint.service()));
        List.copyOf(unreached.keySet()).stream()
                .filter(service -> !services.contains(service))
                .forEach(this::reached);
        services.forEach(service -> check(service, nowMillis));
    }

    private void check(String service, long nowMillis) {
        List<ServiceEndpoint> endpoints = directory.get().accepting(service);
        boolean reaches =
                endpoints.isEmpty() || !health.reachable(endpoints, nowMillis).isEmpty();
        if (reaches) {
            reached(service);
        } else if (!unreached.containsKey(service)) {
            unreached.put(service, new UnreachedService(service, nowMillis));
            changed = true;
            LOG.warn(
                    "this router reaches none of the {} endpoints of service {}; {} other routers have reported the same",
                    endpoints.size(),
                    service,
                    peers.size(),
                    LogEvent.SERVICE_UNREACHED.field(),
                    kv("service", service),
                    kv("evidence", evidence(endpoints, nowMillis)));
        }
    }

    private void reached(String service) {
        UnreachedService before = unreached.remove(service);
        if (before != null) {
            changed = true;
            LOG.info(
                    "this router reaches endpoints of service {} again, after {} ms",
                    service,
                    clock.getAsLong() - before.sinceMillis(),
                    LogEvent.SERVICE_REACHED.field(),
                    kv("service", service));
        }
    }

    private Map<String, Long> evidence(List<ServiceEndpoint> endpoints, long nowMillis) {
        return endpoints.stream()
                .map(endpoint -> health.of(endpoint.id(), nowMillis).link().evidence())
                .collect(Collectors.groupingBy(LinkEvidence::text, Collectors.counting()));
    }

    /** Returns the services of which this router reaches no endpoint, as of the last refresh. */
    public List<UnreachedService> unreachedServices() {
        return List.copyOf(unreached.values());
    }

    /** Tells whether the services that this router does not reach have changed since the last call. */
    public boolean takeChange() {
        boolean result = changed;
        changed = false;
        return result;
    }

    /** Tells whether what other routers report has changed since the last call. */
    public boolean takePeerChange() {
        boolean result = peersChanged;
        peersChanged = false;
        return result;
    }

    /** Returns what other routers have reported about the services that they do not reach. */
    public PartitionTable peers() {
        return peers;
    }

    /**
     * Stores what a peer reports about the services that it and other routers do not reach.
     *
     * @param reporterId the peer
     * @param reported the entries of the report
     */
    public void recordPeerReport(String reporterId, List<RouterPartition> reported) {
        long nowMillis = clock.getAsLong();
        for (String routerId : peers.record(reporterId, reported, nowMillis)) {
            peersChanged = true;
            List<String> services = peers.services(routerId, nowMillis);
            LOG.info(
                    "router {} reaches no endpoint of the services {}, as {} reports",
                    routerId,
                    services,
                    reporterId,
                    LogEvent.PEER_PARTITION.field(),
                    kv("router", routerId),
                    kv("services", services));
        }
    }

    private long unreachedEndpoints(LinkEvidence evidence) {
        long nowMillis = clock.getAsLong();
        return directory.get().all().stream()
                .map(endpoint -> health.of(endpoint.id(), nowMillis).link())
                .map(EndpointLink::evidence)
                .filter(evidence::equals)
                .count();
    }

    private double longestSeconds() {
        long nowMillis = clock.getAsLong();
        return unreached.values().stream()
                        .mapToLong(service -> nowMillis - service.sinceMillis())
                        .max()
                        .orElse(0)
                / MILLIS_PER_SECOND;
    }
}
