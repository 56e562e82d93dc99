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
 * Tracks the observations that peers last reported, and combines them with this router's own: demand is added up, of
 * the loads of an endpoint the latest counts, and its slowdown is a mean weighted by samples and age. Loads in which a
 * figure is impossible are ignored and counted.
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

    /**
     * The time between reports of loads to the members of a group, in milliseconds. A gatherer sends each member the
     * loads of up to all endpoints of the fleet, about 50 bytes each.
     */
    private static final long LOADS_FOR_MEMBERS_MILLIS = 300;

    private final ObservationSource own;
    private final Map<String, PeerReport> reportsByPeer = new HashMap<>();
    private boolean peerObservationsChanged;
    private long ignoredLoads;
    private long nextLoadsForMembersMillis = Long.MIN_VALUE;

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
        PeerReport received = new PeerReport(scope, withLoads(observations, scope, previous), nowMillis, nowMillis);
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

    /** Returns a report with its plausible loads; with those of the previous report if it contains none. */
    private FleetObservations withLoads(FleetObservations reported, WorkScope scope, @Nullable PeerReport before) {
        if (reported.loads().isEmpty()) {
            return before == null
                            || before.scope != scope
                            || before.observations.loads().isEmpty()
                    ? reported
                    : new FleetObservations(reported.demand(), before.observations.loads());
        }
        List<EndpointObservation> plausible = new ArrayList<>(reported.loads());
        plausible.removeIf(load -> !load.plausible());
        ignoredLoads += reported.loads().size() - plausible.size();
        return new FleetObservations(reported.demand(), plausible);
    }

    /** Returns the number of loads reported by peers that were ignored because a figure is impossible. */
    public long ignoredLoads() {
        return ignoredLoads;
    }

    /**
     * Returns the recent loads of endpoints as seen by all routers that are known here.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public List<EndpointObservation> loads(long nowMillis) {
        return combine(nowMillis, report -> true).loads();
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
     * Returns the observations of all routers that are known here, for reports to the members of the group. Loads are
     * included every {@link #LOADS_FOR_MEMBERS_MILLIS} only; receivers keep the previous ones until then.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public FleetObservations forMembers(long nowMillis) {
        FleetObservations all = all(nowMillis);
        if (all.loads().isEmpty()) {
            return all;
        }
        if (nowMillis < nextLoadsForMembersMillis) {
            return new FleetObservations(all.demand(), List.of());
        }
        nextLoadsForMembersMillis = nowMillis + LOADS_FOR_MEMBERS_MILLIS;
        return all;
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
        Map<String, CombinedObservation> loads = new LinkedHashMap<>();
        FleetObservations ownObservations = own(nowMillis);
        add(ownObservations.demand(), demand);
        add(ownObservations.loads(), nowMillis, loads);
        for (PeerReport report : reportsByPeer.values()) {
            if (nowMillis - report.receivedAtMillis <= REPORT_VALID_MILLIS && included.test(report)) {
                add(report.demand(nowMillis), demand);
                add(report.observations.loads(), nowMillis, loads);
            }
        }
        return demand.isEmpty() && loads.isEmpty()
                ? FleetObservations.NONE
                : new FleetObservations(
                        List.copyOf(demand.values()),
                        loads.values().stream().map(CombinedObservation::result).toList());
    }

    private static void add(List<ServiceDemand> added, Map<ServiceDemand.Key, ServiceDemand> demand) {
        added.forEach(entry -> demand.merge(entry.key(), entry, ServiceDemand::plus));
    }

    private static void add(List<EndpointObservation> added, long nowMillis, Map<String, CombinedObservation> loads) {
        for (EndpointObservation load : added) {
            if (load.recent(nowMillis)) {
                CombinedObservation combined = loads.get(load.endpointId());
                if (combined == null) {
                    loads.put(load.endpointId(), new CombinedObservation(load));
                } else {
                    combined.add(load);
                }
            }
        }
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
