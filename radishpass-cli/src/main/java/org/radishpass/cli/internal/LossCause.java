package org.radishpass.cli.internal;

import java.util.Arrays;

/**
 * The causes for which a request was not answered in time, as far as its log line tells. The cause of a request is the
 * first constant that matches.
 */
enum LossCause {
    /** The current configuration does not allow the request, so that no answer was owed. */
    NOT_ALLOWED("not allowed by the configuration") {
        @Override
        boolean matches(LoggedRequest request) {
            return request.status() == 401 || request.status() == 403 || request.status() == 404;
        }
    },
    /** The router was starting and had no configuration yet, or was stopping. */
    ROUTER_NOT_READY("router starting or stopping") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "no configuration") || outcomeContains(request, "is stopping");
        }
    },
    /** The router had not yet received a newer configuration, which might allow the request. */
    NEWER_CONFIGURATION("router behind its configuration") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "newer configuration");
        }
    },
    /** The router had more requests than it could start, and the request could not be served in time. */
    NOT_ADMITTED("router overloaded") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "not admitted");
        }
    },
    /** The request was held back, because endpoints terminated whenever they ran it. */
    HELD_BACK("held back: it ends its endpoints") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "endpoints end when they run");
        }
    },
    /** No endpoint of the service accepted requests. */
    NO_ENDPOINT("no endpoint was left") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "no endpoint");
        }
    },
    /** All suitable endpoints were in backoff after they had rejected requests with Retry-After. */
    BACKOFF("endpoints in backoff") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "in backoff");
        }
    },
    /** The service was contended, and more urgent requests or other workspaces came first. */
    BEYOND_SHARE("beyond its share of a contended service") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "the share of the workspace and urgency is used up");
        }
    },
    /** All suitable endpoints were full, or an endpoint did not accept the request. */
    FULL("endpoints full") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "is full") || outcomeContains(request, "did not take the request");
        }
    },
    /** The deadline passed, or the caller disconnected, before the request was sent. */
    WAITED_TO_BE_SENT("waited for a connection") {
        @Override
        boolean matches(LoggedRequest request) {
            return timedOutOrCallerLeft(request) && request.lastAttempt().sentMillis() < 0;
        }
    },
    /** The deadline passed, or the caller disconnected, before the endpoint began to answer. */
    SILENT_ENDPOINT("silent endpoint") {
        @Override
        boolean matches(LoggedRequest request) {
            return timedOutOrCallerLeft(request) && request.lastAttempt().headMillis() < 0;
        }
    },
    /** The deadline passed, or the caller disconnected, during the answer. */
    ENDED_IN_ANSWER("time over or caller gone during the answer") {
        @Override
        boolean matches(LoggedRequest request) {
            return timedOutOrCallerLeft(request);
        }
    },
    /** The endpoint ended the answer before it was complete. */
    BROKE_OFF("endpoint broke off") {
        @Override
        boolean matches(LoggedRequest request) {
            return outcomeContains(request, "broken off");
        }
    },
    /** The request was answered with an error after more than one attempt. */
    ERROR_AT_EACH("error at each endpoint") {
        @Override
        boolean matches(LoggedRequest request) {
            return request.status() >= 500 && request.attempts().size() > 1;
        }
    },
    /** The request was answered with an error after at most one attempt. */
    ERROR("error at its endpoint") {
        @Override
        boolean matches(LoggedRequest request) {
            return request.status() >= 500;
        }
    },
    /** The router took more than half of the target time to choose the first endpoint. */
    LATE_ROUTER("late: router was busy") {
        @Override
        boolean matches(LoggedRequest request) {
            return request.late() && request.attempts().get(0).chosenMillis() * 2 > request.targetMillis();
        }
    },
    /** The answer began late because an earlier attempt failed or timed out. */
    LATE_SECOND_TRY("late: first endpoint failed or was silent") {
        @Override
        boolean matches(LoggedRequest request) {
            return request.late() && request.attempts().size() > 1;
        }
    },
    /** The request waited more than a quarter of the target time for a connection to its endpoint. */
    LATE_CONNECTION("late: waited for a connection") {
        @Override
        boolean matches(LoggedRequest request) {
            return request.late()
                    && (request.lastAttempt().sentMillis()
                                            - request.lastAttempt().chosenMillis())
                                    * 4
                            > request.targetMillis();
        }
    },
    /** The endpoint took long to begin the answer. */
    LATE_ENDPOINT("late: slow endpoint") {
        @Override
        boolean matches(LoggedRequest request) {
            return request.late();
        }
    },
    /** No other cause matches. */
    UNKNOWN("no cause found") {
        @Override
        boolean matches(LoggedRequest request) {
            return true;
        }
    };

    private final String text;

    LossCause(String text) {
        this.text = text;
    }

    /** Tells whether this cause matches a request that was not answered in time. */
    abstract boolean matches(LoggedRequest request);

    /** Returns the description of the cause for reports. */
    String text() {
        return text;
    }

    /** Returns the first cause that matches a request that was not answered in time. */
    static LossCause of(LoggedRequest request) {
        return Arrays.stream(values())
                .filter(cause -> cause.matches(request))
                .findFirst()
                .orElse(UNKNOWN);
    }

    private static boolean outcomeContains(LoggedRequest request, String words) {
        return request.outcome().contains(words);
    }

    private static boolean timedOutOrCallerLeft(LoggedRequest request) {
        return outcomeContains(request, "the time for an answer is over")
                || outcomeContains(request, "the caller left");
    }
}
