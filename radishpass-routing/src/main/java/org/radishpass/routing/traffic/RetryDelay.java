package org.radishpass.routing.traffic;

import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;

/** The delay after which a caller should retry a request that was not run. */
enum RetryDelay {
    /** A retry is pointless, or it is unknown whether the request was run. */
    NONE(0),
    /** Immediately, since another router accepts the request. */
    OTHER_ROUTER(10),
    /** A process that has just started knows its configuration within about half a second. */
    NOT_READY(300),
    /** Endpoints that are gone are replaced, or reachable again, within about half a second. */
    NO_ENDPOINT(250),
    /** The minimum time for which a request that crashes its endpoints is quarantined; an earlier retry is refused. */
    QUARANTINED(60_000),
    /** A slot becomes free within the time of a few requests to a plain service. */
    OVERLOADED(100);

    /** Maximum jitter in milliseconds; a larger jitter would only make callers wait. */
    private static final long MAX_JITTER_MILLIS = 1_000;

    /** Callers wait for at most their remaining time, divided by this number, before they return. */
    private static final int MAX_RETURN_DIVISOR = 3;

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

    /**
     * Returns the value of the Retry-After header, increased by a random jitter of up to half of the delay so that
     * callers do not retry simultaneously; null for no header.
     */
    @Nullable
    String header() {
        return this == NONE ? null : withJitter(millis);
    }

    /**
     * Returns the value of the Retry-After header if the time is known at which an endpoint accepts requests again.
     *
     * @param untilMillis the milliseconds until then
     */
    static String header(long untilMillis) {
        return withJitter(Math.max(untilMillis, OVERLOADED.millis));
    }

    /**
     * Returns the value of the Retry-After header for a request that is quarantined.
     *
     * @param untilMillis the milliseconds until the end of the quarantine; after it, one other request is tried first
     */
    static String quarantineHeader(long untilMillis) {
        return withJitter(Math.max(untilMillis, QUARANTINED.millis));
    }

    /**
     * Returns the value of the Retry-After header if the time is known at which a service that is full accepts requests
     * again. With the jitter, the longest value is the longest that callers honour.
     *
     * @param untilMillis the milliseconds until then
     * @param leftMillis the milliseconds until the caller's deadline; callers return within a third of them only
     */
    static String header(long untilMillis, long leftMillis) {
        long maxMillis = Math.max(0, leftMillis) / MAX_RETURN_DIVISOR;
        return withJitter(Math.min(Math.max(untilMillis, OVERLOADED.millis), maxMillis * 2 / 3));
    }

    private static String withJitter(long millis) {
        long maxJitterMillis = Math.min(millis / 2, MAX_JITTER_MILLIS);
        return Refusals.seconds(millis + ThreadLocalRandom.current().nextLong(maxJitterMillis + 1));
    }
}
