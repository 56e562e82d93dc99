package org.radishpass.routing.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.radishpass.peer.message.WorkScope;

/**
 * Tracks the observations that peers last reported, and combines them with this router's own: demand is added up, and
 * of the loads of an endpoint the latest counts.
 *
 * <p>Confined to the traffic thread. The scopes of reports replace each other by the same rules as those of the work
 * in flight.
 *
 * @since 0.8.0
 */
public final class FleetObservationTracker {
    /** The time for which a peer's report counts, in milliseconds: five missed messages. */
    public static final long REPORT_VALID_MILLIS = 3_000;

    /**
     * The difference up to which two times of the same observation may differ, in milliseconds. They are computed from
     * ages, which are received with varying delay.
     */
    private static final long MAX_TIME_DIFFERENCE_MILLIS = 50;

    private final ObservationSource own;
    private final Map<String, PeerReport> reportsByPeer = new HashMap<>();
    private boolean peerObservationsChanged;

    /**
     * Creates a tracker without reports of peers.
     *
     * @param own supplies the observations of this router
     */
    public FleetObservationTracker(ObservationSource own) {
        this.own = own;
    }

    /**
     * Stores a peer's report, which replaces the peer's previous report.
     *
     * @param peerId the peer
     * @param scope the routers whose observations are reported
     * @param observations the observations
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void recordPeerReport(String peerId, WorkScope scope, FleetObservations observations, long nowMillis) {
        if (scope == WorkScope.GROUP
                && reportsByPeer.values().stream().anyMatch(report -> fromGatherer(report, nowMillis))) {
            return;
        }
        if (scope == WorkScope.OTHERS) {
            reportsByPeer.values().removeIf(report -> report.scope.sentByGatherer());
        }
        PeerReport previous = reportsByPeer.put(peerId, new PeerReport(scope, observations, nowMillis));
        peerObservationsChanged |= changed(previous, observations);
    }

    private static boolean changed(@Nullable PeerReport previous, FleetObservations observations) {
        if (previous == null) {
            return !observations.isEmpty();
        }
        FleetObservations before = previous.observations;
        if (!before.demand().equals(observations.demand())
                || before.loads().size() != observations.loads().size()) {
            return true;
        }
        Map<String, EndpointObservation> loadsBefore = new HashMap<>();
        before.loads().forEach(load -> loadsBefore.put(load.endpointId(), load));
        return observations.loads().stream().anyMatch(load -> !same(loadsBefore.get(load.endpointId()), load));
    }

    private static boolean same(@Nullable EndpointObservation before, EndpointObservation load) {
        return before != null
                && Math.abs(before.observedAtMillis() - load.observedAtMillis()) <= MAX_TIME_DIFFERENCE_MILLIS
                && before.running() == load.running()
                && before.waiting() == load.waiting()
                && before.slots() == load.slots()
                && before.slowdownPercent() == load.slowdownPercent()
                && before.samples() == load.samples();
    }

    /** Tells whether the observations that peers reported have changed since the last call. */
    public boolean takePeerChange() {
        boolean result = peerObservationsChanged;
        peerObservationsChanged = false;
        return result;
    }

    private static boolean fromGatherer(PeerReport report, long nowMillis) {
        return report.scope == WorkScope.OTHERS && nowMillis - report.receivedAtMillis <= REPORT_VALID_MILLIS;
    }

    /**
     * Removes the reports of peers that have not reported for {@link #REPORT_VALID_MILLIS}.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void removeExpiredReports(long nowMillis) {
        reportsByPeer.values().removeIf(report -> nowMillis - report.receivedAtMillis > REPORT_VALID_MILLIS);
    }

    /**
     * Returns this router's own observations.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public FleetObservations own(long nowMillis) {
        return own.observations(nowMillis);
    }

    /**
     * Returns the observations of this router and of the members of its group.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public FleetObservations group(long nowMillis) {
        return combine(nowMillis, report -> report.scope == WorkScope.MEMBER);
    }

    /**
     * Returns the observations of all routers that are known here.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public FleetObservations all(long nowMillis) {
        return combine(nowMillis, report -> true);
    }

    /**
     * Returns given observations of all routers without the demand that one peer reported.
     *
     * @param all the observations of all routers
     * @param peerId the peer
     */
    public FleetObservations without(FleetObservations all, String peerId) {
        PeerReport report = reportsByPeer.get(peerId);
        if (report == null || report.observations.demand().isEmpty()) {
            return all;
        }
        Map<ServiceDemand.Key, ServiceDemand> demand = new LinkedHashMap<>();
        all.demand().forEach(entry -> demand.put(entry.key(), entry));
        report.observations
                .demand()
                .forEach(entry -> demand.computeIfPresent(entry.key(), (key, sum) -> sum.minus(entry)));
        return new FleetObservations(new ArrayList<>(demand.values()), all.loads());
    }

    private FleetObservations combine(long nowMillis, Predicate<PeerReport> included) {
        Map<ServiceDemand.Key, ServiceDemand> demand = new LinkedHashMap<>();
        Map<String, EndpointObservation> loads = new LinkedHashMap<>();
        add(own(nowMillis), demand, loads);
        reportsByPeer.values().stream()
                .filter(report -> nowMillis - report.receivedAtMillis <= REPORT_VALID_MILLIS)
                .filter(included)
                .forEach(report -> add(report.observations, demand, loads));
        return demand.isEmpty() && loads.isEmpty()
                ? FleetObservations.NONE
                : new FleetObservations(List.copyOf(demand.values()), List.copyOf(loads.values()));
    }

    private static void add(
            FleetObservations observations,
            Map<ServiceDemand.Key, ServiceDemand> demand,
            Map<String, EndpointObservation> loads) {
        observations.demand().forEach(entry -> demand.merge(entry.key(), entry, ServiceDemand::plus));
        observations
                .loads()
                .forEach(load -> loads.merge(
                        load.endpointId(),
                        load,
                        (one, other) -> one.observedAtMillis() >= other.observedAtMillis() ? one : other));
    }

    /** The last report of one peer. */
    private record PeerReport(WorkScope scope, FleetObservations observations, long receivedAtMillis) {}
}
