package org.radishpass.router.internal.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.peer.transport.PeerNode;

/**
 * Sends the reports of endpoints that this router owns to its peers and stores the load that each endpoint last
 * reported. Confined to the control thread, except {@link #lastLoad}.
 */
final class EndpointReporting {
    private final String selfId;
    private final PeerNode peers;
    private final SlotOwner slotOwner;
    private final FleetTracker fleetTracker;
    private final Map<String, EndpointReport> lastSent = new HashMap<>();
    private final ConcurrentHashMap<String, Integer> lastLoads = new ConcurrentHashMap<>();

    EndpointReporting(String selfId, PeerNode peers, SlotOwner slotOwner, FleetTracker fleetTracker) {
        this.selfId = selfId;
        this.peers = peers;
        this.slotOwner = slotOwner;
        this.fleetTracker = fleetTracker;
    }

    /** Returns the load that an endpoint last reported, or 0 if it has not reported yet. Safe to call on any thread. */
    int lastLoad(String endpointId) {
        return lastLoads.getOrDefault(endpointId, 0);
    }

    /** Handles the result of a probe and sends it to all peers if an endpoint that this router owns has changed. */
    void onProbeResult(EndpointReport report, Collection<Vm> vms) {
        lastLoads.put(report.endpointId(), report.running());
        slotOwner.onReport(report);
        if (!slotOwner.accounts().ownedIds().contains(report.endpointId())) {
            return;
        }
        EndpointReport previous = lastSent.get(report.endpointId());
        if (previous == null || !report.sameIncarnationStateAndPools(previous)) {
            lastSent.put(report.endpointId(), report);
            otherRouters(vms).forEach(vm -> peers.send(vm, ReportMessages.toMessage(List.of(report))));
        }
    }

    /** Sends the last reports of all endpoints that this router owns to a peer. */
    void sendOwnedTo(Vm peer) {
        List<EndpointReport> reports =
                fleetTracker.lastReports(slotOwner.accounts().ownedIds());
        if (!reports.isEmpty()) {
            peers.send(peer, ReportMessages.toMessage(reports));
        }
    }

    /** Sends the last reports of all owned endpoints to a random peer, which may have missed earlier messages. */
    void sendOwnedToRandomPeer(Collection<Vm> vms) {
        List<Vm> others = otherRouters(vms);
        if (!others.isEmpty()) {
            sendOwnedTo(others.get(ThreadLocalRandom.current().nextInt(others.size())));
        }
    }

    private List<Vm> otherRouters(Collection<Vm> vms) {
        return vms.stream().filter(vm -> !vm.id().equals(selfId)).toList();
    }
}
