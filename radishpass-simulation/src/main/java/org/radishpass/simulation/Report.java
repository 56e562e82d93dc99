package org.radishpass.simulation;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts the outcomes of the requests that arrived within a span of virtual time. Second tries, rejections and tokens
 * are counted over the whole simulation.
 */
final class Report {
    private static final int HISTOGRAM_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double TAIL_PERCENTILE = 99;

    /**
     * An endpoint is above the load bound that users set if its load exceeds this multiple of the service's mean load
     * plus {@link #LOAD_BOUND_SLACK}.
     */
    private static final double LOAD_BOUND_FACTOR = 2;

    private static final double LOAD_BOUND_SLACK = 3;

    private final double fromMillis;
    private final double untilMillis;
    private final CacheCounts cacheCounts;
    private final Map<String, Counts> byClass = new TreeMap<>();
    private int secondTries;
    private int rejections;
    private int reached;
    private int aboveBound;

    /**
     * Creates an empty report.
     *
     * @param fromMillis the start of the span, in milliseconds; requests that arrive earlier are not counted
     * @param untilMillis the end of the span, in milliseconds; requests that arrive then or later are not counted
     * @param cache the prompt tokens that engines read again and fetched, over the whole simulation
     */
    Report(double fromMillis, double untilMillis, CacheCounts cache) {
        this.fromMillis = fromMillis;
        this.untilMillis = untilMillis;
        this.cacheCounts = cache;
    }

    /**
     * Counts a request whose complete answer has arrived.
     *
     * @param requestClass the class of the request
     * @param startedAtMillis the virtual time at which the request arrived at the router, in milliseconds
     * @param firstByteMillis the time from then to the first byte of the answer, in milliseconds
     */
    void answered(RequestClass requestClass, double startedAtMillis, double firstByteMillis) {
        if (isCounted(startedAtMillis)) {
            Counts counts = counts(requestClass);
            counts.firstByte.recordValue(Math.round(firstByteMillis * MICROS_PER_MILLI));
            if (firstByteMillis <= requestClass.latencyTargetMillis()) {
                counts.inTime++;
            }
        }
    }

    /** Counts a request that the router refused and that has not run. */
    void refused(RequestClass requestClass, double startedAtMillis) {
        if (isCounted(startedAtMillis)) {
            counts(requestClass).refused++;
        }
    }

    /** Counts a request without a complete answer at its deadline. */
    void failed(RequestClass requestClass, double startedAtMillis) {
        if (isCounted(startedAtMillis)) {
            counts(requestClass).failed++;
        }
    }

    /**
     * Counts an attempt that has reached an endpoint.
     *
     * @param startedAtMillis the virtual time at which the request arrived at the router, in milliseconds
     * @param load the number of runs that the endpoint had before
     * @param mean the mean number of runs of the service's endpoints
     */
    void reached(double startedAtMillis, int load, double mean) {
        if (isCounted(startedAtMillis)) {
            reached++;
            aboveBound += load > LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK ? 1 : 0;
        }
    }

    /** Returns the part of the attempts that reached an endpoint above the load bound. */
    double aboveBound() {
        return (double) aboveBound / Math.max(1, reached);
    }

    /** Counts a request that was sent to another endpoint because the first was silent or slow. */
    void secondTry() {
        secondTries++;
    }

    /** Counts a rejection of a request by an endpoint. */
    void rejected() {
        rejections++;
    }

    /** Returns the number of rejections by endpoints, over the whole simulation. */
    int rejections() {
        return rejections;
    }

    private boolean isCounted(double startedAtMillis) {
        return startedAtMillis >= fromMillis && startedAtMillis < untilMillis;
    }

    private Counts counts(RequestClass requestClass) {
        return byClass.computeIfAbsent(requestClass.name(), name -> new Counts());
    }

    /** Returns the part of all counted requests whose answers began within the latency target and were complete. */
    double inTime() {
        return (double) byClass.values().stream().mapToInt(each -> each.inTime).sum() / asked();
    }

    /**
     * Returns the part of a class's counted requests whose answers began within the latency target and were complete.
     */
    double inTime(String requestClass) {
        Counts counts = byClass.getOrDefault(requestClass, new Counts());
        return (double) counts.inTime / Math.max(1, counts.asked());
    }

    /** Returns the number of counted requests, but at least 1. */
    int asked() {
        return Math.max(1, byClass.values().stream().mapToInt(Counts::asked).sum());
    }

    /** Returns the number of counted requests that were refused. */
    int refused() {
        return byClass.values().stream().mapToInt(each -> each.refused).sum();
    }

    /** Returns the number of counted requests without a complete answer at their deadline. */
    int failed() {
        return byClass.values().stream().mapToInt(each -> each.failed).sum();
    }

    /** Returns how often a request was sent to another endpoint, over the whole simulation; rejections don't count. */
    int secondTries() {
        return secondTries;
    }

    /** Returns the tokens of shared prompt parts that were read again, over the whole simulation. */
    long readAgainTokens() {
        return cacheCounts.readAgainTokens();
    }

    /** Returns the prompt tokens that engines fetched from each other, over the whole simulation. */
    long fetchedTokens() {
        return cacheCounts.fetchedTokens();
    }

    /** Returns a table that people can read, with one line per request class and a line of totals. */
    String table() {
        StringBuilder text = new StringBuilder();
        byClass.forEach((name, counts) -> text.append(String.format(
                Locale.ROOT,
                "%-16s asked %6d  in time %.4f  refused %5d  failed %5d  first byte p50 %7.1f p99 %8.1f ms%n",
                name,
                counts.asked(),
                (double) counts.inTime / Math.max(1, counts.asked()),
                counts.refused,
                counts.failed,
                counts.firstByte.getValueAtPercentile(50) / MICROS_PER_MILLI,
                counts.firstByte.getValueAtPercentile(TAIL_PERCENTILE) / MICROS_PER_MILLI)));
        text.append(String.format(
                Locale.ROOT,
                "all: asked %d, in time %.4f, refused %d, failed %d, second tries %d, tokens read again %d, moved %d, above"
                        + " the bound %.4f%n",
                asked(),
                inTime(),
                refused(),
                failed(),
                secondTries,
                readAgainTokens(),
                fetchedTokens(),
                aboveBound()));
        return text.toString();
    }

    /** The outcomes of the requests of one class. */
    private static final class Counts {
        private final Histogram firstByte = new Histogram(HISTOGRAM_DIGITS);
        private int inTime;
        private int refused;
        private int failed;

        private int asked() {
            return (int) firstByte.getTotalCount() + refused + failed;
        }
    }
}
