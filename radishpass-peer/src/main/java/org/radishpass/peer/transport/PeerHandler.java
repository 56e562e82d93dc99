package org.radishpass.peer.transport;

import org.radishpass.peer.message.PeerMessage;
import reactor.core.publisher.Mono;

/**
 * Takes what peers send.
 *
 * @since 0.1.0
 */
public interface PeerHandler {
    /**
     * Takes a message. What it returns is sent back if the peer waits for an answer.
     *
     * @param from the peer
     * @param message the message
     */
    Mono<PeerMessage> handle(String from, PeerMessage message);

    /**
     * Learns that a peer has ended: it has closed a connection that this node dialled, or the last one between the two.
     *
     * @param from the peer
     */
    void disconnected(String from);

    /**
     * Learns that no connection to a peer could be made.
     *
     * @param peer the peer
     * @since 0.3.0
     */
    default void unreachable(String peer) {}
}
