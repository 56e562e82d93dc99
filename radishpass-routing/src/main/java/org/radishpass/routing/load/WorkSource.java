package org.radishpass.routing.load;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.radishpass.peer.message.WorkScope;

/**
 * The traffic side as its control side sees it: what is in flight here, and what peers say of theirs.
 *
 * @since 0.4.0
 */
public interface WorkSource {
    /**
     * Takes what a peer tells of its work.
     *
     * @param peerId the peer
     * @param scope whose work it is
     * @param work the work by endpoint
     * @param failing the endpoints that were seen to fail too often
     */
    void peerTold(String peerId, WorkScope scope, Map<String, InFlight> work, List<String> failing);

    /**
     * Gives what other routers are to be told, when there are members to tell it to or this router's own work has changed
     * since the last call.
     *
     * @param members the peers whose work this router gathers
     * @param always whether it is wanted even if nothing has changed
     * @param taker takes it; called on the traffic thread
     */
    void workReport(List<String> members, boolean always, Consumer<WorkReport> taker);
}
