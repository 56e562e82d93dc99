package org.radishpass.routing.health;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.EndpointDirectory;

/**
 * Until when endpoints are to be sent nothing by this router, because they have rejected a request of its with Retry-After, and how many
 * requests they are given after that. Belongs to the traffic thread.
 *
 * <p>All routers that an endpoint has rejected come back to it, and it may still be short of room. Each therefore begins with one request
 * and doubles the number of those that wait for the head of their answer with each that is not rejected.
 *
 * @since 0.6.0
 */
public final class EndpointBackoffs {
    /**
     * Milliseconds for which an endpoint is sent nothing at most, unless it is set otherwise: an endpoint that asks for more is asked again
     * after that, so that a wrong value does not take it out of use for good.
     */
    public static final long DEFAULT_LONGEST_MILLIS = 300_000;

    private static final long NONE = Long.MIN_VALUE;
    private static final int FIRST_WINDOW = 1;

    /** Requests that wait for the head of their answer, beyond which an endpoint is used like any other. */
    private static final int LAST_WINDOW = 8;

    private final Map<String, Backoff> byEndpoint = new HashMap<>();
    private long longestMillis = DEFAULT_LONGEST_MILLIS;

    /**
     * Sets for how long an endpoint is sent nothing at most; backoffs that are in force keep their ends.
     *
     * @param millis the time, in milliseconds
     */
    public void longestMillis(long millis) {
        longestMillis = millis;
    }

    /**
     * Notes that an endpoint has rejected a request. Of overlapping backoffs the one that ends last counts; an answer to a request that it
     * had taken before does not end them.
     *
     * @param endpointId the endpoint
     * @param backoffMillis for how long it is to be sent nothing, in milliseconds
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether no backoff was in force
     */
    public boolean rejected(String endpointId, long backoffMillis, long nowMillis) {
        boolean begins = !inForce(endpointId, nowMillis);
        Backoff backoff = byEndpoint.computeIfAbsent(endpointId, id -> new Backoff());
        backoff.untilMillis = Math.max(backoff.untilMillis, nowMillis + Math.min(backoffMillis, longestMillis));
        backoff.window = FIRST_WINDOW;
        return begins;
    }

    /**
     * Tells whether an endpoint is to be sent nothing now.
     *
     * @param endpointId the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean inForce(String endpointId, long nowMillis) {
        return nowMillis < untilMillis(endpointId);
    }

    /**
     * Tells whether an endpoint may be sent one more request now.
     *
     * @param endpointId the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean admits(String endpointId, long nowMillis) {
        Backoff backoff = byEndpoint.get(endpointId);
        return backoff == null || (nowMillis >= backoff.untilMillis && backoff.unanswered < backoff.window);
    }

    /**
     * Tells whether an endpoint has been in backoff and is not used like any other yet.
     *
     * @param endpointId the endpoint
     */
    public boolean recovering(String endpointId) {
        return byEndpoint.containsKey(endpointId);
    }

    /**
     * Counts a request that is sent now.
     *
     * @param endpointId the endpoint
     * @return whether {@link #answered} is to be called for it, because the endpoint has been in backoff
     */
    public boolean sent(String endpointId) {
        Backoff backoff = byEndpoint.get(endpointId);
        if (backoff == null) {
            return false;
        }
        backoff.unanswered++;
        return true;
    }

    /**
     * Notes the head of an answer to a request that was counted, or that there is none.
     *
     * @param endpointId the endpoint
     * @param accepted whether the endpoint has taken the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void answered(String endpointId, boolean accepted, long nowMillis) {
        Backoff backoff = byEndpoint.get(endpointId);
        if (backoff == null) {
            return;
        }
        backoff.unanswered = Math.max(0, backoff.unanswered - 1);
        if (accepted && nowMillis >= backoff.untilMillis) {
            backoff.window *= 2;
            if (backoff.window > LAST_WINDOW) {
                byEndpoint.remove(endpointId);
            }
        }
    }

    /**
     * Returns when an endpoint's backoff ends, on the monotonic clock in milliseconds; long ago if there was none.
     *
     * @param endpointId the endpoint
     */
    public long untilMillis(String endpointId) {
        @Nullable Backoff backoff = byEndpoint.get(endpointId);
        return backoff == null ? NONE : backoff.untilMillis;
    }

    /**
     * Returns how many endpoints are to be sent nothing now.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public long count(long nowMillis) {
        return byEndpoint.values().stream()
                .filter(backoff -> nowMillis < backoff.untilMillis)
                .count();
    }

    /**
     * Forgets endpoints that are no longer listed.
     *
     * @param directory the endpoints that are listed
     */
    public void retain(EndpointDirectory directory) {
        byEndpoint.keySet().removeIf(id -> directory.find(id).isEmpty());
    }

    /** The state of one endpoint since it first rejected a request, until it is used like any other. */
    private static final class Backoff {
        private long untilMillis = NONE;
        private int window = FIRST_WINDOW;
        private int unanswered;
    }
}
