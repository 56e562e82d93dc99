package org.radishpass.routing.health;

import java.util.HashMap;
import java.util.Map;
import org.radishpass.routing.fleet.EndpointDirectory;

/**
 * Until when endpoints are to be sent nothing by this router, because they have rejected a request of its with Retry-After. Belongs to
 * the traffic thread.
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

    private final Map<String, Long> untilMillis = new HashMap<>();
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
        untilMillis.merge(endpointId, nowMillis + Math.min(backoffMillis, longestMillis), Math::max);
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
     * Returns when an endpoint's backoff ends, on the monotonic clock in milliseconds; long ago if there was none.
     *
     * @param endpointId the endpoint
     */
    public long untilMillis(String endpointId) {
        return untilMillis.getOrDefault(endpointId, NONE);
    }

    /**
     * Returns how many endpoints are to be sent nothing now.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public long count(long nowMillis) {
        return untilMillis.values().stream().filter(until -> nowMillis < until).count();
    }

    /**
     * Forgets endpoints that are no longer listed.
     *
     * @param directory the endpoints that are listed
     */
    public void retain(EndpointDirectory directory) {
        untilMillis.keySet().removeIf(id -> directory.find(id).isEmpty());
    }
}
