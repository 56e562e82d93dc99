package org.radishpass.peer.message;

/**
 * The routers whose work in flight a message describes. The order of the constants is part of the protocol.
 *
 * @since 0.3.0
 */
public enum WorkScope {
    /** The sender's own work, sent to the gatherer of the sender's group, which adds up the work of the group. */
    MEMBER,
    /** The work of the sender's whole group, sent to the gatherers of the other groups. */
    GROUP,
    /** The work of all routers but the receiver, sent by the gatherer of the receiver's group. */
    OTHERS;

    /**
     * Tells whether the sender of such a message is the gatherer of its group. Gatherers read from the store what all
     * routers need.
     */
    public boolean sentByGatherer() {
        return this != MEMBER;
    }
}
