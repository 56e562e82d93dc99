package org.radishpass.standin.platform;

import java.util.Map;

/**
 * What the table service answers.
 *
 * @param status the HTTP status
 * @param body the body, written as JSON
 * @param lost whether the answer never reaches the client
 * @since 0.1.0
 */
public record TableAnswer(int status, Object body, boolean lost) {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    static TableAnswer committed(Object body, boolean lost) {
        return new TableAnswer(OK, body, lost);
    }

    static TableAnswer conflict(String key) {
        return new TableAnswer(CONFLICT, Map.of("key", key), false);
    }

    static TableAnswer limited() {
        return new TableAnswer(TOO_MANY, Map.of("detail", "the rate limit is reached"), false);
    }

    static TableAnswer refused(String detail) {
        return new TableAnswer(UNAVAILABLE, Map.of("detail", detail), false);
    }
}
