package org.radishpass.router.internal.control;

import java.util.HashSet;
import java.util.Set;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerNode;

/** Tells peers that have just been listed which configuration this router has. Belongs to the control thread. */
final class PeerGreetings {
    private final String selfId;
    private final PeerNode peers;
    private final ConfigurationTracker configuration;
    private final Set<String> greeted = new HashSet<>();

    PeerGreetings(String selfId, PeerNode peers, ConfigurationTracker configuration) {
        this.selfId = selfId;
        this.peers = peers;
        this.configuration = configuration;
    }

    /** Greets the peers of a fleet that were not in it before. */
    void greetNew(FleetView view) {
        greeted.retainAll(view.vms().stream().map(Vm::id).toList());
        for (Vm vm : view.vms()) {
            if (!vm.id().equals(selfId) && greeted.add(vm.id())) {
                peers.send(vm, new PeerMessage.Head(configuration.current().revision()));
            }
        }
    }
}
