package org.radishpass.simulation;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What came of the requests that began within a span of time. */
final class Report {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double TAIL_PERCENTILE = 99;

    /** The bound on the load of one endpoint that users set: this multiple of the mean, and this much more. */
    private static final double BOUND_FACTOR = 2;

    private static final double BOUND_SLACK = 3;

    private final double fromMillis;
    private final double untilMillis;
    private final CacheCounts cache;
    private final Map<String, Counts> byClass = new TreeMap<>();
    private int secondTries;
    private int rejections;
    private int reached;
    private int aboveBound;

    /**
     * Creates an empty report.
     *
     * @param fromMillis requests that begin earlier are not counted
     * @param untilMillis nor are those that begin later
     * @param cache what engines read again and moved, over the whole run
     */
    Report(double fromMillis, double untilMillis, CacheCounts cache) {
        this.fromMillis = fromMillis;
        this.untilMillis = untilMillis;
        this.cache = cache;
    }

    /** A request's whole answer has come, which began after a while. */
    void served(RequestClass requestClass, double startedAtMillis, double firstByteMillis) {
        if (counted(startedAtMillis)) {
            Counts counts = counts(requestClass);
            counts.firstByte.recordValue(Math.round(firstByteMillis * MICROS_PER_MILLI));
            if (firstByteMillis <= requestClass.latencyTargetMillis()) {
                counts.inTime++;
            }
        }
    }

    /** A request was refused and has not run. */
    void refused(RequestClass requestClass, double startedAtMillis) {
        if (counted(startedAtMillis)) {
            counts(requestClass).refused++;
        }
    }

    /** A request had no whole answer at its deadline. */
    void failed(RequestClass requestClass, double startedAtMillis) {
        if (counted(startedAtMillis)) {
            counts(requestClass).failed++;
        }
    }

    /**
     * A request has reached an endpoint.
     *
     * @param startedAtMillis when the request began
     * @param load the runs that the endpoint had
     * @param mean the mean of its service's endpoints
     */
    void reached(double startedAtMillis, int load, double mean) {
        if (counted(startedAtMillis)) {
            reached++;
            aboveBound += load > BOUND_FACTOR * mean + BOUND_SLACK ? 1 : 0;
        }
    }

    /** Returns the part of the arrivals that found an endpoint above twice the mean of its service and three. */
    double aboveBound() {
        return (double) aboveBound / Math.max(1, reached);
    }

    /** A request was sent to another endpoint because the first was silent or slow. */
    void triedAgain() {
        secondTries++;
    }

    /** An endpoint has rejected a request. */
    void rejected() {
        rejections++;
    }

    /** Returns how many requests endpoints have rejected. */
    int rejections() {
        return rejections;
    }

    private boolean counted(double startedAtMillis) {
        return startedAtMillis >= fromMillis && startedAtMillis < untilMillis;
    }

    private Counts counts(RequestClass requestClass) {
        return byClass.computeIfAbsent(requestClass.name(), name -> new Counts());
    }

    /** Returns the part of all requests whose answers began in time and came whole. */
    double inTime() {
        return (double) byClass.values().stream().mapToInt(each -> each.inTime).sum() / asked();
    }

    /** Returns the part of a class's requests whose answers began in time and came whole. */
    double inTime(String requestClass) {
        Counts counts = byClass.getOrDefault(requestClass, new Counts());
        return (double) counts.inTime / Math.max(1, counts.asked());
    }

    /** Returns how many requests were counted. */
    int asked() {
        return Math.max(1, byClass.values().stream().mapToInt(Counts::asked).sum());
    }

    /** Returns how many requests were refused. */
    int refused() {
        return byClass.values().stream().mapToInt(each -> each.refused).sum();
    }

    /** Returns how many requests had no whole answer at their deadline. */
    int failed() {
        return byClass.values().stream().mapToInt(each -> each.failed).sum();
    }

    /** Returns how many requests were sent again, over the whole run. */
    int secondTries() {
        return secondTries;
    }

    /** Returns the tokens of shared parts that were read again, over the whole run. */
    long readAgainTokens() {
        return cache.readAgainTokens();
    }

    /** Returns the tokens that were moved between engines, over the whole run. */
    long movedTokens() {
        return cache.movedTokens();
    }

    /** Returns a table for people: a line a class, then the sums. */
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
                movedTokens(),
                aboveBound()));
        return text.toString();
    }

    /** What came of one class. */
    private static final class Counts {
        private final Histogram firstByte = new Histogram(DIGITS);
        private int inTime;
        private int refused;
        private int failed;

        private int asked() {
            return (int) firstByte.getTotalCount() + refused + failed;
        }
    }
}
