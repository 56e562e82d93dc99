package org.radishpass.router.internal.control;

import java.util.HashSet;
import java.util.Set;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerNode;

/** Sends this router's configuration revision to peers that are new in the fleet. Confined to the control thread. */
final class NewPeerNotifier {
    private final String selfId;
    private final PeerNode peers;
    private final ConfigurationTracker configurationTracker;
    private final Set<String> notifiedIds = new HashSet<>();

    NewPeerNotifier(String selfId, PeerNode peers, ConfigurationTracker configurationTracker) {
        this.selfId = selfId;
        this.peers = peers;
        this.configurationTracker = configurationTracker;
    }

    /** Sends the revision to every peer that was not in the previous view of the fleet. */
    void notifyNewPeers(FleetView view) {
        notifiedIds.retainAll(view.vms().stream().map(Vm::id).toList());
        for (Vm vm : view.vms()) {
            if (!vm.id().equals(selfId) && notifiedIds.add(vm.id())) {
                peers.send(
                        vm, new PeerMessage.Head(configurationTracker.current().revision()));
            }
        }
    }
}
