package org.radishpass.peer.message;

/**
 * Whose work in flight a message speaks of. The order is part of the protocol.
 *
 * @since 0.3.0
 */
public enum WorkScope {
    /** The sender's own, told to the router that gathers it. */
    MEMBER,
    /** That of the sender's group, told to the routers that gather other groups. */
    GROUP,
    /** That of all routers but the receiver, told by the router that gathers the receiver's. */
    OTHERS;

    /** Tells whether a sender of such a message leads a group, and so reads what all need from the store. */
    public boolean leads() {
        return this != MEMBER;
    }
}
