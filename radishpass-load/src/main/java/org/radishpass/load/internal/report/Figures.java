package org.radishpass.load.internal.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.radishpass.load.internal.drive.Result;

/**
 * Works out the figures of a run from what callers received and what the stand-ins saw run.
 *
 * @since 0.1.0
 */
public final class Figures {
    private static final double LEAST_MEAN = 1;
    private static final long MOST_MICROS = 120_000_000;

    private Figures() {
        // static methods only
    }

    /**
     * Counts what went wrong, by the audit.
     *
     * @param results what callers received
     * @param audit what the stand-ins saw run
     */
    public static Map<String, Object> audit(List<Result> results, JsonNode audit) {
        JsonNode runs = audit.path("orders");
        Map<String, Object> counts = new LinkedHashMap<>();
        counts.put(
                "lost", count(results, result -> result.outcome() == Result.Outcome.LOST || unfulfilled(result, runs)));
        counts.put("doubled", count(results, result -> result.doubledTokens() > 0 || runs(result, runs) > 1));
        counts.put("crossed", count(results, result -> result.outcome() == Result.Outcome.CROSSED));
        counts.put("cut", count(results, result -> result.outcome() == Result.Outcome.CUT));
        counts.put("falseNotRun", count(results, result -> falselyNotRun(result, runs)));
        return counts;
    }

    private static int count(List<Result> results, Predicate<Result> wanted) {
        return (int) results.stream().filter(wanted).count();
    }

    private static int runs(Result result, JsonNode runs) {
        return result.arrival().workload().orders()
                ? runs.path(result.arrival().chat()).asInt()
                : 0;
    }

    private static boolean unfulfilled(Result result, JsonNode runs) {
        boolean answered = result.outcome() == Result.Outcome.ANSWERED;
        return answered && result.arrival().workload().orders() && runs(result, runs) == 0;
    }

    private static boolean falselyNotRun(Result result, JsonNode runs) {
        boolean notRun = result.outcome() == Result.Outcome.REFUSED && "NOT_RUN".equals(result.verdict());
        return notRun && runs(result, runs) > 0;
    }

    /**
     * Works out cache reuse: the share of prompt tokens that came from a cache, and the best possible.
     *
     * @param before the audit at the start of the figures
     * @param after the audit at the end
     * @param results what callers received
     */
    public static Map<String, Object> reuse(JsonNode before, JsonNode after, List<Result> results) {
        long prompt = sum(after, "promptTokens") - sum(before, "promptTokens");
        long cached = sum(after, "cachedTokens") - sum(before, "cachedTokens");
        long wanted = 0;
        long reusable = 0;
        for (Result result : results) {
            wanted += result.arrival().promptTokens();
            reusable += result.arrival().reusableTokens();
        }
        double reuse = ratio(cached, prompt);
        double perfect = ratio(reusable, wanted);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("reuse", reuse);
        figures.put("perfectReuse", perfect);
        figures.put("reuseOfPerfect", perfect == 0 ? 0 : reuse / perfect);
        return figures;
    }

    /**
     * Works out skew from samples of the engines' own load.
     *
     * @param samples the load of each serving engine, sample by sample
     * @param bound the multiple of the mean that is allowed
     */
    public static Map<String, Object> skew(JsonNode samples, double bound) {
        List<Double> peaks = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        double worstExcess = 0;
        for (JsonNode sample : samples) {
            double sum = 0;
            double peak = 0;
            for (JsonNode load : sample) {
                sum += load.asDouble();
                peak = Math.max(peak, load.asDouble());
            }
            double mean = sample.isEmpty() ? 0 : sum / sample.size();
            if (mean < LEAST_MEAN) {
                continue;
            }
            peaks.add(peak / mean);
            worstExcess = Math.max(worstExcess, peak - Math.ceil(bound * mean));
            sample.forEach(load -> ratios.add(load.asDouble() / mean));
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("skewPeakToMean", percentile(peaks, 0.5));
        figures.put("skewPeakToMeanP99", percentile(peaks, 0.99));
        figures.put("skewP99ToMean", percentile(ratios, 0.99));
        figures.put("mostOverBound", worstExcess);
        figures.put("samples", peaks.size());
        return figures;
    }

    /**
     * Works out times to the first token by workspace.
     *
     * @param results what callers received
     */
    public static Map<String, Object> times(List<Result> results) {
        Map<String, Histogram> byWorkspace = new LinkedHashMap<>();
        Histogram all = new Histogram(MOST_MICROS, 3);
        for (Result result : results) {
            if (result.outcome() != Result.Outcome.ANSWERED) {
                continue;
            }
            long micros = Math.min(MOST_MICROS, result.firstTokenNanos() / 1_000);
            byWorkspace
                    .computeIfAbsent(result.arrival().workload().workspace(), name -> new Histogram(MOST_MICROS, 3))
                    .recordValue(micros);
            if (!result.arrival().workload().orders()
                    && result.arrival().workload().streams()) {
                all.recordValue(micros);
            }
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        byWorkspace.forEach((name, histogram) -> figures.put(
                name,
                Map.of(
                        "count", histogram.getTotalCount(),
                        "p50Millis", histogram.getValueAtPercentile(50) / 1_000.0,
                        "p95Millis", histogram.getValueAtPercentile(95) / 1_000.0,
                        "p99Millis", histogram.getValueAtPercentile(99) / 1_000.0)));
        Map<String, Object> times = new LinkedHashMap<>();
        times.put("ttftP95Millis", all.getTotalCount() == 0 ? 0 : all.getValueAtPercentile(95) / 1_000.0);
        times.put("workspaces", figures);
        return times;
    }

    /**
     * Counts requests, answers and refusals.
     *
     * @param results what callers received
     * @param seconds how long load ran
     */
    public static Map<String, Object> counts(List<Result> results, double seconds) {
        long answered = results.stream()
                .filter(result -> result.outcome() == Result.Outcome.ANSWERED)
                .count();
        Map<String, Integer> refusals = new LinkedHashMap<>();
        results.stream()
                .filter(result -> result.outcome() == Result.Outcome.REFUSED)
                .forEach(result -> refusals.merge(result.code() + "/" + result.verdict(), 1, Integer::sum));
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("requests", results.size());
        figures.put("answered", answered);
        figures.put(
                "refusals",
                refusals.values().stream().mapToInt(Integer::intValue).sum());
        figures.put("refusalsByCode", refusals);
        figures.put("goodput", answered / seconds);
        return figures;
    }

    private static long sum(JsonNode audit, String count) {
        long sum = 0;
        for (JsonNode engine : audit.path("engines")) {
            sum += engine.path(count).asLong();
        }
        return sum;
    }

    private static double ratio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    private static double percentile(List<Double> values, double share) {
        if (values.isEmpty()) {
            return 0;
        }
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get((int) Math.min(sorted.size() - 1, Math.floor(share * sorted.size())));
    }
}
