package org.radishpass.routing.admission;

/**
 * Why a request is not admitted.
 *
 * @since 0.8.0
 */
public enum RefusalReason {
    /** The request is expected to miss its deadline here. */
    DEADLINE("deadline"),
    /** The request is expected to miss its latency target here, and another router can still meet it. */
    OTHER_ROUTER("other-router");

    private final String label;

    RefusalReason(String label) {
        this.label = label;
    }

    /** Returns the value of the label of metrics. */
    public String label() {
        return label;
    }
}
