package org.radishpass.routing.config;

/**
 * What may be done with a request that has perhaps run.
 *
 * @since 0.2.0
 */
public enum RequestKind {
    /** Running it again does no harm. */
    IDEMPOTENT(true, false),
    /** It runs once at most. */
    NON_IDEMPOTENT(false, false),
    /** Its answer is a series of events that cannot be continued elsewhere; it runs once at most. */
    STREAM(false, true),
    /** Its answer is a series of events that another endpoint can continue after the last one received. */
    RESUMABLE_STREAM(true, true);

    private final boolean mayRunAgain;
    private final boolean streams;

    RequestKind(boolean mayRunAgain, boolean streams) {
        this.mayRunAgain = mayRunAgain;
        this.streams = streams;
    }

    /** Tells whether it may be sent again although it has perhaps run. */
    public boolean mayRunAgain() {
        return mayRunAgain;
    }

    /** Tells whether the answer is a series of events. */
    public boolean streams() {
        return streams;
    }

    /** Tells whether a broken answer can be continued at another endpoint. */
    public boolean resumes() {
        return this == RESUMABLE_STREAM;
    }
}
