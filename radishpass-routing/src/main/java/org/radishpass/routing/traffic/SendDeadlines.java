package org.radishpass.routing.traffic;

import org.radishpass.routing.config.Route;
import org.radishpass.routing.health.ResponseTimes;

/**
 * Computes until when a request may wait before it is sent, from the time that its caller has and the usual time of
 * responses. Times are on the monotonic clock, in milliseconds.
 */
final class SendDeadlines {
    /** A usual time that is unknown. */
    static final long UNKNOWN = 0;

    /**
     * The usual time is at most the timeout of the route, divided by this number. A measured time above the timeout
     * would otherwise refuse each request that waits, although half of the responses take less.
     */
    private static final int USUAL_TIME_DIVISOR = 2;

    /** The time in milliseconds before the deadline at which a request is refused, so that its caller is told in time. */
    private static final long REFUSAL_MILLIS = 75;

    private SendDeadlines() {
        // static methods only
    }

    /** Returns the usual time from sending a request to its first event, in milliseconds; {@link #UNKNOWN} if unknown. */
    static long usualMillis(ResponseTimes responseTimes, Route route) {
        long medianMillis = responseTimes.medianMillis(route.name());
        return medianMillis == ResponseTimes.UNKNOWN
                ? UNKNOWN
                : Math.min(medianMillis, route.timeoutMillis() / USUAL_TIME_DIVISOR);
    }

    /** Returns the latest time to send a request, so that it is usually answered, or else refused, before its deadline. */
    static long latestSend(long deadlineMillis, long usualMillis) {
        return deadlineMillis - Math.max(usualMillis, REFUSAL_MILLIS);
    }

    /**
     * Returns until when a request waits for a connection. While there is another endpoint or router to try, all of them
     * get equal parts of the time in which the latency target can still be met; the last gets all that is left.
     *
     * @param nowMillis the time
     * @param latestPunctualSendMillis the latest time to send the request with which the latency target is usually met
     * @param latestSendMillis the latest time to send the request
     * @param toTry the number of endpoints and routers that are left to try, including this one
     */
    static long connectionWaitEnd(long nowMillis, long latestPunctualSendMillis, long latestSendMillis, int toTry) {
        boolean punctual = toTry > 1 && nowMillis < latestPunctualSendMillis;
        long endMillis = punctual ? Math.min(latestPunctualSendMillis, latestSendMillis) : latestSendMillis;
        return nowMillis + Math.max(0, endMillis - nowMillis) / toTry;
    }
}
