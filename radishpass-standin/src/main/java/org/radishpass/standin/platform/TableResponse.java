package org.radishpass.standin.platform;

import java.util.Map;

/**
 * Response of the table service to a transaction.
 *
 * @param status the HTTP status
 * @param body the body, which is serialised as JSON
 * @param lost whether the connection is closed instead of sending the response
 * @since 0.1.0
 */
public record TableResponse(int status, Object body, boolean lost) {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    static TableResponse committed(Object body, boolean lost) {
        return new TableResponse(OK, body, lost);
    }

    static TableResponse conflict(String key) {
        return new TableResponse(CONFLICT, Map.of("key", key), false);
    }

    static TableResponse rateLimited() {
        return new TableResponse(TOO_MANY_REQUESTS, Map.of("detail", "the rate limit is reached"), false);
    }

    static TableResponse unavailable(String detail) {
        return new TableResponse(UNAVAILABLE, Map.of("detail", detail), false);
    }
}
