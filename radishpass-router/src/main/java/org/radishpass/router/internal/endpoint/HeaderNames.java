package org.radishpass.router.internal.endpoint;

/**
 * Names of the HTTP headers that the router exchanges with callers and endpoints.
 *
 * @since 0.1.0
 */
public final class HeaderNames {
    /** The id of the request. Endpoints must return this header in the response. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** The number of the attempt within the request. Endpoints must return this header in the response. */
    public static final String ATTEMPT = "X-Attempt";

    /** The verdict on a refused or interrupted request, which tells whether the request may have run. */
    public static final String VERDICT = "X-Radishpass-Verdict";

    /** The priority class of the request. */
    public static final String PRIORITY = "X-Priority";

    /** The time left until the caller's deadline, in milliseconds. */
    public static final String DEADLINE = "X-Deadline-Millis";

    /** The number of the first token that a resumed stream must send. */
    public static final String RESUME_FROM = "X-Resume-From";

    /** The id of the chat that the request belongs to. */
    public static final String CHAT_ID = "X-Chat-Id";

    /** The key that identifies a non-idempotent request, so that the request runs at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Set to {@code true} by an endpoint that refuses a request before running any part of the request. */
    public static final String NOT_RUN = "X-Not-Run";

    /** A token for the engine that served the chat's last turn. Callers may send the token with the next turn. */
    public static final String AFFINITY = "X-Radishpass-Affinity";

    private HeaderNames() {
        // not instantiable
    }
}
