package org.radishpass.routing.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.radishpass.peer.message.WorkScope;

/**
 * Tracks the work in flight at each endpoint: this router's own work, and the work that its peers last reported.
 *
 * <p>Confined to the traffic thread. A peer that has not reported for {@link #PEER_REPORT_VALID_MILLIS} counts as
 * having nothing in flight: the peer may be disconnected or gone, and its outdated counts would keep endpoints out of
 * use.
 *
 * @since 0.2.0
 */
public final class InFlightTracker {
    /** The time for which a peer's report counts, in milliseconds: six missed messages. */
    public static final long PEER_REPORT_VALID_MILLIS = 3_000;

    /** The time for which a report on all other groups overrides reports of single groups, in ms: five messages. */
    static final long OTHERS_REPORT_VALID_MILLIS = 1_000;

    private final Map<String, InFlight> own = new HashMap<>();
    private final Map<String, InFlight> total = new HashMap<>();
    private final Map<String, PeerWork> reportsByPeer = new HashMap<>();
    private final Set<String> changed = new HashSet<>();
    private boolean peerWorkChanged;
    private long othersReportValidUntilMillis = Long.MIN_VALUE;

    /**
     * Adds a request that is about to be sent.
     *
     * @param endpointId the endpoint
     * @param tokens the sum of the request's prompt tokens and of its maximum output tokens
     */
    public void started(String endpointId, long tokens) {
        addOwn(endpointId, new InFlight(1, tokens));
    }

    /**
     * Subtracts a request that has ended, with or without a response.
     *
     * @param endpointId the endpoint
     * @param tokens the tokens that were added at its start
     */
    public void ended(String endpointId, long tokens) {
        addOwn(endpointId, new InFlight(-1, -tokens));
    }

    /**
     * Returns the work in flight at an endpoint, of this router and of its peers.
     *
     * @param endpointId the endpoint
     */
    public InFlight at(String endpointId) {
        return total.getOrDefault(endpointId, InFlight.NONE);
    }

    /**
     * Returns this router's own work in flight at an endpoint.
     *
     * @param endpointId the endpoint
     */
    public InFlight ownAt(String endpointId) {
        return own.getOrDefault(endpointId, InFlight.NONE);
    }

    /**
     * Returns the number of requests in flight at an endpoint that its peers have reported. A peer that has requests in
     * flight most likely reaches the endpoint.
     *
     * @param endpointId the endpoint
     * @since 0.9.0
     */
    public int peersAt(String endpointId) {
        return at(endpointId).requests() - ownAt(endpointId).requests();
    }

    /** Returns this router's own work in flight, by endpoint; endpoints without such work are absent. */
    public Map<String, InFlight> ownWork() {
        return Map.copyOf(own);
    }

    /** Returns this router's own work at the endpoints where the work has changed since the last call, by endpoint. */
    public Map<String, InFlight> takeChanges() {
        Map<String, InFlight> changes = new HashMap<>();
        changed.forEach(id -> changes.put(id, ownAt(id)));
        changed.clear();
        return changes;
    }

    /** Tells whether the work that peers reported has changed since the last call. */
    public boolean takePeerChange() {
        boolean result = peerWorkChanged;
        peerWorkChanged = false;
        return result;
    }

    /**
     * Returns the sum of this router's own work and of the work that the members of its group reported, by endpoint.
     */
    public Map<String, InFlight> groupWork() {
        Map<String, InFlight> group = new HashMap<>(own);
        reportsByPeer.values().stream()
                .filter(report -> report.scope == WorkScope.MEMBER)
                .forEach(report -> report.work.forEach((endpointId, amount) -> addTo(group, endpointId, amount)));
        return group;
    }

    /**
     * Returns all known work except the work that one peer reported, by endpoint.
     *
     * @param peerId the peer
     */
    public Map<String, InFlight> workWithout(String peerId) {
        Map<String, InFlight> others = new HashMap<>(total);
        PeerWork report = reportsByPeer.get(peerId);
        if (report != null) {
            report.work.forEach((endpointId, amount) -> addTo(others, endpointId, InFlight.NONE.minus(amount)));
        }
        return others;
    }

    /**
     * Stores a peer's report, which replaces the peer's previous report.
     *
     * @param peerId the peer
     * @param scope the routers whose work is reported; a report on all others replaces the reports of all gatherers
     * @param work the work by endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void recordPeerReport(String peerId, WorkScope scope, Map<String, InFlight> work, long nowMillis) {
        if (scope == WorkScope.GROUP && nowMillis < othersReportValidUntilMillis) {
            return;
        }
        if (scope == WorkScope.OTHERS) {
            othersReportValidUntilMillis = nowMillis + OTHERS_REPORT_VALID_MILLIS;
            removeReports((id, report) -> report.scope.sentByGatherer() && !id.equals(peerId));
        } else if (scope == WorkScope.GROUP) {
            removeReports((id, report) -> report.scope == WorkScope.OTHERS);
        }
        PeerWork previous = reportsByPeer.get(peerId);
        if (previous != null && previous.scope == scope && previous.work.equals(work)) {
            reportsByPeer.put(peerId, new PeerWork(scope, previous.work, nowMillis));
            return;
        }
        removeReport(peerId);
        reportsByPeer.put(peerId, new PeerWork(scope, Map.copyOf(work), nowMillis));
        work.forEach(this::addToTotal);
        peerWorkChanged = true;
    }

    /**
     * Removes the reports of peers that have not reported for {@link #PEER_REPORT_VALID_MILLIS}.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void removeExpiredReports(long nowMillis) {
        removeReports((id, report) -> nowMillis - report.receivedAtMillis > PEER_REPORT_VALID_MILLIS);
    }

    private void removeReports(BiPredicate<String, PeerWork> unwanted) {
        Set<String> ids = new HashSet<>();
        reportsByPeer.forEach((id, report) -> {
            if (unwanted.test(id, report)) {
                ids.add(id);
            }
        });
        ids.forEach(this::removeReport);
    }

    private void removeReport(String peerId) {
        PeerWork report = reportsByPeer.remove(peerId);
        if (report != null) {
            report.work.forEach((endpointId, amount) -> addToTotal(endpointId, InFlight.NONE.minus(amount)));
            peerWorkChanged = true;
        }
    }

    private void addOwn(String endpointId, InFlight amount) {
        addTo(own, endpointId, amount);
        addToTotal(endpointId, amount);
        changed.add(endpointId);
    }

    private void addToTotal(String endpointId, InFlight amount) {
        addTo(total, endpointId, amount);
    }

    private static void addTo(Map<String, InFlight> map, String endpointId, InFlight amount) {
        map.compute(endpointId, (id, before) -> {
            InFlight now = before == null ? amount : before.plus(amount);
            return now.equals(InFlight.NONE) ? null : now;
        });
    }

    /** The last report of one peer. */
    private record PeerWork(WorkScope scope, Map<String, InFlight> work, long receivedAtMillis) {}
}
