package org.radishpass.routing.config;

/**
 * Classifies requests by whether a request that may already have run can be sent again, and by the form of the
 * response.
 *
 * @since 0.2.0
 */
public enum RequestKind {
    /** The request may run more than once without harm. */
    IDEMPOTENT(true, false),
    /** The request must run at most once. */
    NON_IDEMPOTENT(false, false),
    /** The response is an event stream that no other endpoint can continue. The request must run at most once. */
    STREAM(false, true),
    /** The response is an event stream that another endpoint can continue after the last event received. */
    RESUMABLE_STREAM(true, true);

    private final boolean retryableAfterRun;
    private final boolean streams;

    RequestKind(boolean mayRunAgain, boolean streams) {
        this.retryableAfterRun = mayRunAgain;
        this.streams = streams;
    }

    /** Tells whether a request of this kind may be sent again when it may already have run. */
    public boolean retryableAfterRun() {
        return retryableAfterRun;
    }

    /** Tells whether the response is an event stream. */
    public boolean streams() {
        return streams;
    }

    /** Tells whether another endpoint can continue a response that broke off. */
    public boolean resumes() {
        return this == RESUMABLE_STREAM;
    }
}
