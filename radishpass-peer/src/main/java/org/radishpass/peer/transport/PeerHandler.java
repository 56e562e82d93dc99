package org.radishpass.peer.transport;

import org.radishpass.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/**
 * Handles the messages and connection events of peers.
 *
 * @since 0.1.0
 */
public interface PeerHandler {
    /**
     * Handles a message and returns the response, which is sent only if the message is a request.
     *
     * @param from the id of the peer; empty if the peer has not introduced itself yet
     * @param message the message
     */
    Mono<PeerMessage> handle(String from, PeerMessage message);

    /**
     * Called when a peer has ended: the peer has closed the connection that this node dialled, or the last connection
     * between the two.
     *
     * @param from the id of the peer
     */
    void disconnected(String from);

    /**
     * Called when connecting to a peer has failed.
     *
     * @param peer the id of the peer
     * @since 0.3.0
     */
    default void unreachable(String peer) {}
}
