package org.radishpass.routing.health;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes, for each route, how long a response may take to begin before its endpoint counts as slow. The limit is a
 * multiple of the median, or of the 95th percentile, of the time until the responses of all endpoints begin. Confined
 * to the traffic thread.
 *
 * <p>Both quantiles are running estimates. They follow a service that becomes slower as a whole, so that a high load is
 * not mistaken for a fault of single endpoints. If one third of the endpoints is slow, the median changes little.
 *
 * @since 0.4.0
 */
public final class ResponseTimes {
    /** The result of this class's methods for a route with too few responses so far. */
    public static final long UNKNOWN = Long.MAX_VALUE;

    /**
     * The multiple of the median. In normal traffic, one response in a hundred takes four times the median or longer
     * (median 58 ms, 99th percentile 207 to 360 ms). Three such responses in a row at one endpoint occur about once in
     * a million.
     */
    private static final double MEDIAN_FACTOR = 4;

    /** The quantile that stands for responses to requests whose prompts are not cached, or that wait behind others. */
    private static final double TAIL_QUANTILE = 0.95;

    /**
     * The multiple of the tail quantile. Without this limit, endpoints that processed long prompts were ejected: of 120
     * random deployments, 5 lost more than 4 % of their requests that way.
     */
    private static final double TAIL_FACTOR = 2;

    /** The minimum of the limit, in milliseconds: pauses of the router's own process are about that long. */
    private static final long MIN_LIMIT_MILLIS = 100;

    /** The fraction of the latency target after which a second attempt may start; the rest is left to the second attempt. */
    private static final double SECOND_ATTEMPT_TARGET_FRACTION = 0.5;

    /** The minimum number of responses of a route before its quantiles are used. */
    private static final int MIN_RESPONSES = 20;

    /** The maximum relative change of a quantile by one response: 29 slower responses in a row double the median. */
    private static final double MAX_RELATIVE_STEP = 0.05;

    /**
     * The maximum number of routes. Above it all are discarded; each then needs {@link #MIN_RESPONSES} responses again.
     */
    private static final int MAX_ROUTES = 4_096;

    private final Map<String, ResponseTimeQuantiles> byRoute = new HashMap<>();

    /**
     * Records how long a response took to begin.
     *
     * @param route the name of the route
     * @param millis the time from sending the request to the head of the response, in milliseconds
     */
    public void record(String route, double millis) {
        if (byRoute.size() >= MAX_ROUTES) {
            byRoute.clear();
        }
        byRoute.computeIfAbsent(route, name -> new ResponseTimeQuantiles(Math.max(1.0, millis)))
                .add(millis);
    }

    /**
     * Returns how long a response may take to begin before its endpoint counts as slow, in milliseconds;
     * {@link #UNKNOWN} if the route has too few responses so far.
     *
     * @param route the name of the route
     */
    public long slowThresholdMillis(String route) {
        ResponseTimeQuantiles quantiles = byRoute.get(route);
        if (quantiles == null || quantiles.count < MIN_RESPONSES) {
            return UNKNOWN;
        }
        return Math.max(
                MIN_LIMIT_MILLIS, Math.round(Math.max(MEDIAN_FACTOR * quantiles.median, TAIL_FACTOR * quantiles.tail)));
    }

    /**
     * Returns the median of the time until a response begins, in milliseconds; {@link #UNKNOWN} if the route has too
     * few responses so far.
     *
     * @param route the name of the route
     * @since 0.6.0
     */
    public long medianMillis(String route) {
        ResponseTimeQuantiles quantiles = byRoute.get(route);
        return quantiles == null || quantiles.count < MIN_RESPONSES ? UNKNOWN : Math.round(quantiles.median);
    }

    /**
     * Returns how long to wait for a response to begin before the request is also sent to another endpoint, in
     * milliseconds: until the endpoint counts as slow, but at least half of the latency target. Most late responses
     * begin by then, and a second attempt makes another engine process the prompt again. {@link #UNKNOWN} if the route has
     * too few responses so far.
     *
     * @param route the name of the route
     * @param targetMillis the time within which a response of the route should begin, in milliseconds
     */
    public long secondAttemptMillis(String route, long targetMillis) {
        return Math.max(slowThresholdMillis(route), Math.round(SECOND_ATTEMPT_TARGET_FRACTION * targetMillis));
    }

    /** Running estimates of two quantiles of the time until the responses of one route begin. */
    private static final class ResponseTimeQuantiles {
        private static final double MEDIAN_QUANTILE = 0.5;

        private double median;
        private double tail;
        private int count;

        private ResponseTimeQuantiles(double first) {
            this.median = first;
            this.tail = first;
        }

        private void add(double millis) {
            count++;
            median = adjusted(median, millis, MEDIAN_QUANTILE);
            tail = adjusted(tail, millis, TAIL_QUANTILE);
        }

        /** Returns the estimate adjusted by one sample; upward and downward steps balance at the given quantile. */
        private static double adjusted(double estimate, double millis, double quantile) {
            double factor =
                    millis > estimate ? 1 + MAX_RELATIVE_STEP * quantile : 1 - MAX_RELATIVE_STEP * (1 - quantile);
            return Math.max(1.0, estimate * factor);
        }
    }
}
