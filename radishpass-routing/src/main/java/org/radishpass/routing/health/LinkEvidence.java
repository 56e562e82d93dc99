package org.radishpass.routing.health;

/**
 * What showed whether this router reaches an endpoint.
 *
 * @since 0.9.0
 */
public enum LinkEvidence {
    /** Nothing has been observed yet. */
    NONE("none", LinkState.UNKNOWN),
    /** A connection was established. */
    CONNECTED("connected", LinkState.REACHED),
    /** Bytes arrived on a connection. */
    RECEIVED("received", LinkState.REACHED),
    /** A connection was refused: by the endpoint's machine, or by a device on the way. */
    REFUSED("refused", LinkState.UNREACHED),
    /** A connection was reset while it was being established. */
    RESET("reset", LinkState.UNREACHED),
    /** A connection was not established in time, or the network reported that there is no route. */
    NO_ANSWER("no-answer", LinkState.UNREACHED);

    private final String text;
    private final LinkState state;

    LinkEvidence(String text, LinkState state) {
        this.text = text;
        this.state = state;
    }

    /** Returns the evidence as written in logs and in the labels of metrics. */
    public String text() {
        return text;
    }

    /** Returns the state that follows from the evidence. */
    public LinkState state() {
        return state;
    }
}
