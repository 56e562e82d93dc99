package org.radishpass.core.fleet;

/**
 * The stages of an endpoint's life.
 *
 * @since 0.1.0
 */
public enum EndpointState {
    /** Known to the platform, not yet answering. */
    JOINING(false),
    /** Answering and open to new work. */
    READY(true),
    /** Not answering; it gets nothing new while others answer. */
    SUSPECT(false),
    /** Finishing what it has; it gets nothing new. */
    LEAVING(false),
    /** Switched off as a spare. */
    ASLEEP(false);

    private final boolean takesWork;

    EndpointState(boolean takesWork) {
        this.takesWork = takesWork;
    }

    /** Tells whether an endpoint in this state may be given new work. */
    public boolean takesWork() {
        return takesWork;
    }
}
