package org.radishpass.routing.health;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.EndpointDirectory;

/**
 * Tracks the endpoints that have rejected a request of this router with Retry-After. Such an endpoint is sent nothing
 * until its backoff ends, and a limited number of requests after that. Confined to the traffic thread.
 *
 * <p>All routers whose requests an endpoint has rejected return to the endpoint, which may still be short of capacity.
 * Each router therefore starts with a window of one request that waits for the head of its response. Every accepted
 * request doubles the window.
 *
 * @since 0.6.0
 */
public final class EndpointBackoffs {
    /**
     * The default for the maximum length of a backoff, in milliseconds. An endpoint that asks for a longer backoff is
     * sent a request after this time, so that a wrong value does not take the endpoint out of use for good.
     */
    public static final long DEFAULT_MAX_BACKOFF_MILLIS = 300_000;

    private static final long NO_BACKOFF = Long.MIN_VALUE;
    private static final int INITIAL_WINDOW = 1;

    /**
     * The maximum window, in requests that wait for the head of their response; beyond it the endpoint has recovered.
     */
    private static final int MAX_WINDOW = 8;

    private final Map<String, Backoff> byEndpoint = new HashMap<>();
    private long maxBackoffMillis = DEFAULT_MAX_BACKOFF_MILLIS;

    /**
     * Sets the maximum length of a backoff. Backoffs in force keep their ends.
     *
     * @param millis the maximum length, in milliseconds
     */
    public void maxBackoffMillis(long millis) {
        maxBackoffMillis = millis;
    }

    /**
     * Records that an endpoint has rejected a request. Of overlapping backoffs the one that ends last counts. A
     * response to a request that the endpoint accepted earlier does not end a backoff.
     *
     * @param endpointId the endpoint
     * @param backoffMillis the length of the backoff that the endpoint asks for, in milliseconds
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether a backoff begins now; false if one was already in force
     */
    public boolean rejected(String endpointId, long backoffMillis, long nowMillis) {
        boolean begins = !inForce(endpointId, nowMillis);
        Backoff backoff = byEndpoint.computeIfAbsent(endpointId, id -> new Backoff());
        backoff.untilMillis = Math.max(backoff.untilMillis, nowMillis + Math.min(backoffMillis, maxBackoffMillis));
        backoff.window = INITIAL_WINDOW;
        return begins;
    }

    /**
     * Tells whether a backoff of an endpoint is in force now.
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
     * Tells whether no endpoint is in backoff or recovering from one.
     *
     * @since 0.8.0
     */
    public boolean none() {
        return byEndpoint.isEmpty();
    }

    /**
     * Tells whether an endpoint is in backoff or has not recovered from one yet.
     *
     * @param endpointId the endpoint
     */
    public boolean recovering(String endpointId) {
        return byEndpoint.containsKey(endpointId);
    }

    /**
     * Counts a request that is sent now if the endpoint is recovering.
     *
     * @param endpointId the endpoint
     * @return whether the request was counted, so that {@link #answered} must be called for it
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
     * Records the outcome of a request that was counted: the head of its response has arrived, or none will arrive.
     *
     * @param endpointId the endpoint
     * @param accepted whether the endpoint has accepted the request
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
            if (backoff.window > MAX_WINDOW) {
                byEndpoint.remove(endpointId);
            }
        }
    }

    /**
     * Returns the end of an endpoint's backoff, on the monotonic clock in milliseconds; a time long ago if it had none.
     *
     * @param endpointId the endpoint
     */
    public long untilMillis(String endpointId) {
        @Nullable Backoff backoff = byEndpoint.get(endpointId);
        return backoff == null ? NO_BACKOFF : backoff.untilMillis;
    }

    /**
     * Returns the number of endpoints whose backoff is in force now.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public long count(long nowMillis) {
        return byEndpoint.values().stream()
                .filter(backoff -> nowMillis < backoff.untilMillis)
                .count();
    }

    /**
     * Removes endpoints that are no longer in the directory.
     *
     * @param directory the current endpoints
     */
    public void retain(EndpointDirectory directory) {
        byEndpoint.keySet().removeIf(id -> directory.find(id).isEmpty());
    }

    /** The state of one endpoint from its first rejection until it has recovered. */
    private static final class Backoff {
        private long untilMillis = NO_BACKOFF;
        private int window = INITIAL_WINDOW;
        private int unanswered;
    }
}
