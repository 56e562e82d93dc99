package org.radishpass.routing.traffic;

import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;

/** When a caller whose request has not run is told to come back. */
enum RetryDelay {
    /** Coming back makes no sense, or nothing is promised. */
    NONE(0),
    /** At once: another router takes the request. */
    ELSEWHERE(10),
    /** A process that has just started knows its configuration within about half a second. */
    NOT_READY(300),
    /** Endpoints that have gone are replaced, or found again, within about half a second. */
    NO_ENDPOINT(250),
    /** The shortest time for which a request is held back that ends its endpoints; coming back sooner makes no sense. */
    QUARANTINED(60_000),
    /** A place becomes free within a few turns of a plain service. */
    OVERLOADED(100);

    /** Milliseconds over which callers come back at most; more would only make them wait. */
    private static final long LONGEST_SPREAD_MILLIS = 1_000;

    private final long millis;

    RetryDelay(long millis) {
        this.millis = millis;
    }

    static RetryDelay of(RefusalCode code) {
        return switch (code) {
            case OVERLOADED, WORKSPACE_LIMIT -> OVERLOADED;
            case NO_ENDPOINT -> NO_ENDPOINT;
            case NOT_READY -> NOT_READY;
            case QUARANTINED -> QUARANTINED;
            default -> NONE;
        };
    }

    /** Returns the header's value, spread by half so that callers do not come back together; null for none. */
    @Nullable
    String header() {
        return this == NONE ? null : spread(millis);
    }

    /**
     * Returns the header's value where it is known when an endpoint takes requests again.
     *
     * @param untilMillis the milliseconds until then
     */
    static String header(long untilMillis) {
        return spread(Math.max(untilMillis, OVERLOADED.millis));
    }

    private static String spread(long millis) {
        long most = Math.min(millis / 2, LONGEST_SPREAD_MILLIS);
        return Refusals.seconds(millis + ThreadLocalRandom.current().nextLong(most + 1));
    }
}
