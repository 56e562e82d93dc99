package org.radishpass.routing.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
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
     * Stores a peer's report, which replaces the peer's previous report. Demand is reported less often than work in
     * flight: the previous demand stays in force for {@link #REPORT_VALID_MILLIS} if the new report has none.
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
        PeerReport previous = reportsByPeer.get(peerId);
        if (scope == WorkScope.OTHERS) {
            reportsByPeer.values().removeIf(report -> report.scope.sentByGatherer());
        }
        PeerReport received = new PeerReport(scope, observations, nowMillis, nowMillis);
        PeerReport report = previous == null ? received : received.withDemandOf(previous);
        reportsByPeer.put(peerId, report);
        peerObservationsChanged |= changed(previous, report.observations);
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
     * Returns the age of the latest demand that a peer reported, in milliseconds; empty if no peer reported demand
     * within {@link #REPORT_VALID_MILLIS}.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public OptionalLong demandAgeMillis(long nowMillis) {
        return reportsByPeer.values().stream()
                .filter(report -> !report.demand(nowMillis).isEmpty())
                .mapToLong(report -> nowMillis - report.demandAtMillis)
                .min();
    }

    /**
     * Tells whether a peer has reported within {@link #REPORT_VALID_MILLIS}, with or without observations.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean hasPeerReports(long nowMillis) {
        return reportsByPeer.values().stream()
                .anyMatch(report -> nowMillis - report.receivedAtMillis <= REPORT_VALID_MILLIS);
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
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public FleetObservations without(FleetObservations all, String peerId, long nowMillis) {
        PeerReport report = reportsByPeer.get(peerId);
        if (report == null || all.demand().isEmpty() || report.demand(nowMillis).isEmpty()) {
            return all;
        }
        Map<ServiceDemand.Key, ServiceDemand> demand = new LinkedHashMap<>();
        all.demand().forEach(entry -> demand.put(entry.key(), entry));
        report.demand(nowMillis).forEach(entry -> demand.computeIfPresent(entry.key(), (key, sum) -> sum.minus(entry)));
        return new FleetObservations(new ArrayList<>(demand.values()), all.loads());
    }

    private FleetObservations combine(long nowMillis, Predicate<PeerReport> included) {
        Map<ServiceDemand.Key, ServiceDemand> demand = new LinkedHashMap<>();
        Map<String, EndpointObservation> loads = new LinkedHashMap<>();
        FleetObservations ownObservations = own(nowMillis);
        add(ownObservations.demand(), ownObservations.loads(), demand, loads);
        reportsByPeer.values().stream()
                .filter(report -> nowMillis - report.receivedAtMillis <= REPORT_VALID_MILLIS)
                .filter(included)
                .forEach(report -> add(report.demand(nowMillis), report.observations.loads(), demand, loads));
        return demand.isEmpty() && loads.isEmpty()
                ? FleetObservations.NONE
                : new FleetObservations(List.copyOf(demand.values()), List.copyOf(loads.values()));
    }

    private static void add(
            List<ServiceDemand> addedDemand,
            List<EndpointObservation> addedLoads,
            Map<ServiceDemand.Key, ServiceDemand> demand,
            Map<String, EndpointObservation> loads) {
        addedDemand.forEach(entry -> demand.merge(entry.key(), entry, ServiceDemand::plus));
        addedLoads.forEach(load -> loads.merge(
                load.endpointId(),
                load,
                (one, other) -> one.observedAtMillis() >= other.observedAtMillis() ? one : other));
    }

    /** The last report of one peer, with the time at which its demand was received. */
    private record PeerReport(
            WorkScope scope, FleetObservations observations, long receivedAtMillis, long demandAtMillis) {
        private PeerReport withDemandOf(PeerReport previous) {
            if (!observations.demand().isEmpty() || previous.scope != scope) {
                return this;
            }
            FleetObservations both = new FleetObservations(previous.observations.demand(), observations.loads());
            return new PeerReport(scope, both, receivedAtMillis, previous.demandAtMillis);
        }

        private List<ServiceDemand> demand(long nowMillis) {
            return nowMillis - demandAtMillis <= REPORT_VALID_MILLIS ? observations.demand() : List.of();
        }
    }
}
