package org.radishpass.peer.transport;

import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/**
 * The links of a router to its peers. {@link PeerNode} makes them over TCP.
 *
 * @since 0.4.0
 */
public interface PeerLinks {
    /**
     * Sends a message that needs no answer; it is lost if the peer cannot be reached.
     *
     * @param peer the peer
     * @param message the message
     */
    void send(Vm peer, PeerMessage message);

    /**
     * Sends a message whose answer may be large, and waits for that as long as it moves, see {@link
     * org.radishpass.runtime.transfer.TransferProgress}; ends in an error when it is given up.
     *
     * @param peer the peer
     * @param message the message
     */
    Mono<PeerMessage> fetch(Vm peer, PeerMessage message);

    /**
     * Closes the link to a peer that has fallen silent; the next message dials anew.
     *
     * @param peerId the peer
     */
    void drop(String peerId);
}
