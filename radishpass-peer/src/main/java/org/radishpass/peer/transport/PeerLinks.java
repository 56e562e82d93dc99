package org.radishpass.peer.transport;

import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/**
 * The links of a router to its peers. {@link PeerNode} implements them over TCP.
 *
 * @since 0.4.0
 */
public interface PeerLinks {
    /**
     * Sends a message that has no response. The message is lost if the peer cannot be reached.
     *
     * @param peer the peer
     * @param message the message
     */
    void send(Vm peer, PeerMessage message);

    /**
     * Sends a request whose response may be large. The wait for the response has no fixed timeout: the result fails
     * when the transfer stalls or is too slow, see {@link org.radishpass.runtime.transfer.TransferProgress}.
     *
     * @param peer the peer
     * @param message the request
     */
    Mono<PeerMessage> fetch(Vm peer, PeerMessage message);

    /**
     * Closes the link to a peer that no longer responds. The next message to the peer opens a new connection.
     *
     * @param peerId the id of the peer
     */
    void closeLink(String peerId);
}
