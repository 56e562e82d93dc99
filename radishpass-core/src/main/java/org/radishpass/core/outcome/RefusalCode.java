package org.radishpass.core.outcome;

/**
 * The stable error codes that callers see, each with its HTTP status and the delay after which a retry makes sense.
 *
 * @since 0.1.0
 */
public enum RefusalCode {
    /** The request is malformed. */
    BAD_REQUEST(400, 0),
    /** The API key is missing, unknown or not valid for the workspace. */
    UNAUTHORIZED(401, 0),
    /** The model, service or path does not exist. */
    NOT_FOUND(404, 0),
    /** The idempotency key was used before for a different request. */
    KEY_REUSED(422, 0),
    /** The same request is running, or may have run, in another attempt, possibly at another router. */
    IN_PROGRESS(409, 2),
    /** The router that issued the ticket has stopped or no longer has the ticket; the request is never run again. */
    TICKET_LOST(409, 0),
    /** The request body is larger than the limit. */
    TOO_LARGE(413, 0),
    /** The workspace has as many requests in progress as its configuration record allows. */
    WORKSPACE_LIMIT(429, 1),
    /** Every endpoint that serves the request is at its limit. */
    OVERLOADED(503, 1),
    /** No endpoint currently serves the model or service. */
    NO_ENDPOINT(503, 2),
    /** No endpoint can continue the stream that the request takes up, or none is known to; a retry does not help. */
    STREAM_LOST(503, 0),
    /** The router is not ready, or is stopping. */
    NOT_READY(503, 1),
    /** The request needs the platform's store, which cannot be reached. */
    STORE_UNAVAILABLE(503, 5),
    /** Endpoints stopped while they ran this request, so routers do not send it again for some time. */
    QUARANTINED(503, 60),
    /** The deadline of the request has passed or cannot be met. */
    DEADLINE(504, 1),
    /** The endpoint ended the response early or sent a response that does not belong to this request. */
    ENDPOINT_FAILED(502, 1);

    private final int status;
    private final int retryAfterSeconds;

    RefusalCode(int status, int retryAfterSeconds) {
        this.status = status;
        this.retryAfterSeconds = retryAfterSeconds;
    }

    /** Returns the HTTP status of the refusal. */
    public int status() {
        return status;
    }

    /** Returns the number of seconds after which a retry makes sense; 0 if no retry makes sense. */
    public int retryAfterSeconds() {
        return retryAfterSeconds;
    }
}
