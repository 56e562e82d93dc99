package org.radishpass.router.internal.endpoint;

/**
 * The names of headers that callers and endpoints see.
 *
 * @since 0.1.0
 */
public final class HeaderNames {
    /** Names the request; endpoints must give it back. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Counts the attempts at a request; endpoints must give it back. */
    public static final String ATTEMPT = "X-Attempt";

    /** Says whether a request that was refused or broken off may have run. */
    public static final String VERDICT = "X-Radishpass-Verdict";

    /** The class of a request. */
    public static final String PRIORITY = "X-Priority";

    /** What is left until the caller's deadline, in milliseconds. */
    public static final String DEADLINE = "X-Deadline-Millis";

    /** The number of the first token that a resumed stream is to send. */
    public static final String RESUME_FROM = "X-Resume-From";

    /** Names the chat that a request belongs to. */
    public static final String CHAT_ID = "X-Chat-Id";

    /** The key under which a non-idempotent request runs at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Set by an endpoint that refuses a request before running any of it. */
    public static final String NOT_RUN = "X-Not-Run";

    /** Names the engine of a chat's last turn; the caller may bring it back with the next. */
    public static final String AFFINITY = "X-Radishpass-Affinity";

    private HeaderNames() {
        // constants only
    }
}
