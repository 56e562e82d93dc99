package org.radishpass.routing.health;

import java.util.HashMap;
import java.util.Map;

/**
 * How long an answer may take to begin before its endpoint is taken to be slow, by route: multiples of what the route's
 * answers usually take, and of what the slowest of them do, over all endpoints. Belongs to the traffic thread.
 *
 * <p>Both are running quantiles. They follow a service that gets slower as a whole, so that load is not taken for a
 * fault of single endpoints, and a third of the endpoints that are slow do not move the median much.
 *
 * @since 0.4.0
 */
public final class AnswerPatience {
    /** Returned by {@link #millis} while too little is known of a route. */
    public static final long UNKNOWN = Long.MAX_VALUE;

    /**
     * The multiple of the usual time. In calm traffic one answer in a hundred takes four times the median or longer (58 and
     * 207 to 360 ms measured): three such in a row at one endpoint come about once in a million.
     */
    private static final double FACTOR = 4;

    /** The quantile that tells how long a route's answers take where the prompt is not cached, or others are before it. */
    private static final double TAIL = 0.95;

    /**
     * The multiple of the tail. Without it, endpoints that had to read long prompts were left out: of 120 random deployments, 5
     * lost over 4 requests in 100 by it.
     */
    private static final double TAIL_FACTOR = 2;

    /** The least patience in milliseconds: pauses of a router's own process are about that long. */
    private static final long LEAST_MILLIS = 100;

    /** The part of the latency target that is left to a second try. */
    private static final double LEFT_TO_SECOND_TRY = 0.5;

    /** Answers of a route before anything is concluded from their median. */
    private static final int ENOUGH = 20;

    /** What one answer moves a quantile by at most: the median doubles within 29 answers that all take longer. */
    private static final double STEP = 0.05;

    /** Routes that are remembered; more are forgotten all together, which costs {@link #ENOUGH} answers each. */
    private static final int MOST_ROUTES = 4_096;

    private final Map<String, Usual> byRoute = new HashMap<>();

    /**
     * Notes how long an answer took to begin.
     *
     * @param route the name of its route
     * @param millis the time from sending the request to the head of the answer, in milliseconds
     */
    public void note(String route, double millis) {
        if (byRoute.size() >= MOST_ROUTES) {
            byRoute.clear();
        }
        byRoute.computeIfAbsent(route, name -> new Usual(Math.max(1.0, millis))).add(millis);
    }

    /**
     * Returns how long an answer may take to begin, in milliseconds; {@link #UNKNOWN} while too little is known.
     *
     * @param route the name of its route
     */
    public long millis(String route) {
        Usual usual = byRoute.get(route);
        if (usual == null || usual.count < ENOUGH) {
            return UNKNOWN;
        }
        return Math.max(LEAST_MILLIS, Math.round(Math.max(FACTOR * usual.median, TAIL_FACTOR * usual.tail)));
    }

    /**
     * Returns how long an answer usually takes to begin, in milliseconds; {@link #UNKNOWN} while too little is known.
     *
     * @param route the name of its route
     * @since 0.6.0
     */
    public long usualMillis(String route) {
        Usual usual = byRoute.get(route);
        return usual == null || usual.count < ENOUGH ? UNKNOWN : Math.round(usual.median);
    }

    /**
     * Returns how long to wait for an answer to begin until it is tried elsewhere, in milliseconds: until the endpoint is taken to
     * be slow, and at least until half of the latency target is over. Most answers that are late come by then, and a try
     * elsewhere reads the prompt once more. {@link #UNKNOWN} while too little is known.
     *
     * @param route the name of its route
     * @param targetMillis the time within which an answer of the route should begin, in milliseconds
     */
    public long secondTryMillis(String route, long targetMillis) {
        return Math.max(millis(route), Math.round(LEFT_TO_SECOND_TRY * targetMillis));
    }

    /** Running quantiles that take a number each. */
    private static final class Usual {
        private static final double HALF = 0.5;

        private double median;
        private double tail;
        private int count;

        private Usual(double first) {
            this.median = first;
            this.tail = first;
        }

        private void add(double millis) {
            count++;
            median = moved(median, millis, HALF);
            tail = moved(tail, millis, TAIL);
        }

        /** Moves a quantile by steps whose sizes balance where the given part of all answers lies below it. */
        private static double moved(double value, double millis, double quantile) {
            double factor = millis > value ? 1 + STEP * quantile : 1 - STEP * (1 - quantile);
            return Math.max(1.0, value * factor);
        }
    }
}
