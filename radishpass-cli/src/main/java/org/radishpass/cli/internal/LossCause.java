package org.radishpass.cli.internal;

import java.util.Arrays;

/** Why a request was not answered in time, as far as its line tells. The first cause that fits is the request's. */
enum LossCause {
    /** The configuration in force does not allow it; nothing was owed. */
    NOT_ALLOWED("not allowed by the configuration") {
        @Override
        boolean fits(LoggedRequest request) {
            return request.status() == 401 || request.status() == 403 || request.status() == 404;
        }
    },
    /** The router had just started, or was stopping. */
    ROUTER_NOT_READY("router starting or stopping") {
        @Override
        boolean fits(LoggedRequest request) {
            return says(request, "no configuration") || says(request, "is stopping");
        }
    },
    /** The router knew that there was a newer configuration, which may allow the request, and did not have it yet. */
    NEWER_CONFIGURATION("router behind its configuration") {
        @Override
        boolean fits(LoggedRequest request) {
            return says(request, "newer configuration");
        }
    },
    /** Endpoints had ended whenever they ran it. */
    HELD_BACK("held back: it ends its endpoints") {
        @Override
        boolean fits(LoggedRequest request) {
            return says(request, "endpoints end when they run");
        }
    },
    /** Nothing of the service took requests. */
    NO_ENDPOINT("no endpoint was left") {
        @Override
        boolean fits(LoggedRequest request) {
            return says(request, "no endpoint");
        }
    },
    /** The endpoints had rejected requests with Retry-After. */
    BACKOFF("endpoints in backoff") {
        @Override
        boolean fits(LoggedRequest request) {
            return says(request, "in backoff");
        }
    },
    /** The endpoints had more than they should wait for. */
    FULL("endpoints full") {
        @Override
        boolean fits(LoggedRequest request) {
            return says(request, "is full") || says(request, "did not take the request");
        }
    },
    /** The time was over while it had not been sent. */
    WAITED_TO_BE_SENT("waited for a connection") {
        @Override
        boolean fits(LoggedRequest request) {
            return over(request) && request.last().sentMillis() < 0;
        }
    },
    /** The time was over, or the caller gone, while its endpoint said nothing. */
    SILENT_ENDPOINT("silent endpoint") {
        @Override
        boolean fits(LoggedRequest request) {
            return over(request) && request.last().headMillis() < 0;
        }
    },
    /** The time was over, or the caller gone, while its answer came. */
    ENDED_IN_ANSWER("time over or caller gone during the answer") {
        @Override
        boolean fits(LoggedRequest request) {
            return over(request);
        }
    },
    /** The answer broke off at the endpoint. */
    BROKE_OFF("endpoint broke off") {
        @Override
        boolean fits(LoggedRequest request) {
            return says(request, "broken off");
        }
    },
    /** More than one endpoint answered with an error. */
    ERROR_AT_EACH("error at each endpoint") {
        @Override
        boolean fits(LoggedRequest request) {
            return request.status() >= 500 && request.attempts().size() > 1;
        }
    },
    /** The endpoint answered with an error and the request could not be tried elsewhere. */
    ERROR("error at its endpoint") {
        @Override
        boolean fits(LoggedRequest request) {
            return request.status() >= 500;
        }
    },
    /** The router itself took long to begin with it. */
    LATE_ROUTER("late: router was busy") {
        @Override
        boolean fits(LoggedRequest request) {
            return request.late() && request.attempts().get(0).chosenMillis() * 2 > request.targetMillis();
        }
    },
    /** It was answered by a second endpoint. */
    LATE_SECOND_TRY("late: first endpoint failed or was silent") {
        @Override
        boolean fits(LoggedRequest request) {
            return request.late() && request.attempts().size() > 1;
        }
    },
    /** A connection took long. */
    LATE_CONNECTION("late: waited for a connection") {
        @Override
        boolean fits(LoggedRequest request) {
            return request.late()
                    && (request.last().sentMillis() - request.last().chosenMillis()) * 4 > request.targetMillis();
        }
    },
    /** Its endpoint took long to begin. */
    LATE_ENDPOINT("late: slow endpoint") {
        @Override
        boolean fits(LoggedRequest request) {
            return request.late();
        }
    },
    /** Nothing fits. */
    UNKNOWN("no cause found") {
        @Override
        boolean fits(LoggedRequest request) {
            return true;
        }
    };

    private final String text;

    LossCause(String text) {
        this.text = text;
    }

    /** Tells whether this can be why a request was not answered in time. */
    abstract boolean fits(LoggedRequest request);

    /** Returns the cause in words. */
    String text() {
        return text;
    }

    /** Finds the cause of a request that was not answered in time. */
    static LossCause of(LoggedRequest request) {
        return Arrays.stream(values())
                .filter(cause -> cause.fits(request))
                .findFirst()
                .orElse(UNKNOWN);
    }

    private static boolean says(LoggedRequest request, String words) {
        return request.outcome().contains(words);
    }

    private static boolean over(LoggedRequest request) {
        return says(request, "the time for an answer is over") || says(request, "the caller left");
    }
}
