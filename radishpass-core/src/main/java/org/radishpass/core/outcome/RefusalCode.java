package org.radishpass.core.outcome;

/**
 * The stable codes of errors that callers see, each with its HTTP status.
 *
 * @since 0.1.0
 */
public enum RefusalCode {
    /** The request is malformed. */
    BAD_REQUEST(400, 0),
    /** The key is missing, unknown or not valid for the workspace. */
    UNAUTHORIZED(401, 0),
    /** There is no such model, service or path. */
    NOT_FOUND(404, 0),
    /** The key of an idempotent request was used before for something else. */
    KEY_REUSED(422, 0),
    /** The same request is being run, or may have been, by another router. */
    IN_PROGRESS(409, 2),
    /** The router that gave the ticket out is gone or has forgotten it; the request is never run again. */
    TICKET_LOST(409, 0),
    /** The body is larger than the limit. */
    TOO_LARGE(413, 0),
    /** The workspace has as many requests as its record allows. */
    WORKSPACE_LIMIT(429, 1),
    /** No endpoint has room. */
    OVERLOADED(503, 1),
    /** No endpoint serves this at the moment. */
    NO_ENDPOINT(503, 2),
    /** The router is not ready, or is stopping. */
    NOT_READY(503, 1),
    /** The platform's store is needed and cannot be reached. */
    STORE_UNAVAILABLE(503, 5),
    /** Endpoints have ended whenever they ran this request; it is held back for a while. */
    QUARANTINED(503, 60),
    /** The deadline passed or could not be met. */
    DEADLINE(504, 1),
    /** The endpoint broke off or gave an answer that is not this request's. */
    ENDPOINT_FAILED(502, 1);

    private final int status;
    private final int retryAfterSeconds;

    RefusalCode(int status, int retryAfterSeconds) {
        this.status = status;
        this.retryAfterSeconds = retryAfterSeconds;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the seconds after which asking again makes sense; 0 where it does not. */
    public int retryAfterSeconds() {
        return retryAfterSeconds;
    }
}
