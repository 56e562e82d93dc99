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
 * Tells peers what this router's probes found of the endpoints that it owns, and remembers what each endpoint reported last.
 * Belongs to the control thread, but for {@link #load}.
 */
final class EndpointReporting {
    private final String selfId;
    private final PeerNode peers;
    private final SlotOwner slots;
    private final FleetTracker fleet;
    private final Map<String, EndpointReport> told = new HashMap<>();
    private final ConcurrentHashMap<String, Integer> loads = new ConcurrentHashMap<>();

    EndpointReporting(String selfId, PeerNode peers, SlotOwner slots, FleetTracker fleet) {
        this.selfId = selfId;
        this.peers = peers;
        this.slots = slots;
        this.fleet = fleet;
    }

    /** Returns the load that an endpoint reported last, 0 if it has not; may be called on any thread. */
    int load(String endpointId) {
        return loads.getOrDefault(endpointId, 0);
    }

    /** Takes what a probe found; others are told if an endpoint that this router owns has changed. */
    void probed(EndpointReport report, Collection<Vm> vms) {
        loads.put(report.endpointId(), report.running());
        slots.reported(report);
        if (!slots.book().ownedIds().contains(report.endpointId())) {
            return;
        }
        EndpointReport before = told.get(report.endpointId());
        if (before == null || !report.sameStanding(before)) {
            told.put(report.endpointId(), report);
            others(vms).forEach(vm -> peers.send(vm, ReportMessages.of(List.of(report))));
        }
    }

    /** Tells a peer that has just connected of all that this router owns. */
    void tell(Vm peer) {
        List<EndpointReport> reports = fleet.lastReports(slots.book().ownedIds());
        if (!reports.isEmpty()) {
            peers.send(peer, ReportMessages.of(reports));
        }
    }

    /** Repairs what a peer may have missed: each second one peer, by chance, is told of all that this router owns. */
    void refreshOne(Collection<Vm> vms) {
        List<Vm> others = others(vms);
        if (!others.isEmpty()) {
            tell(others.get(ThreadLocalRandom.current().nextInt(others.size())));
        }
    }

    private List<Vm> others(Collection<Vm> vms) {
        return vms.stream().filter(vm -> !vm.id().equals(selfId)).toList();
    }
}
