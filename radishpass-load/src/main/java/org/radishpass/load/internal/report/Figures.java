package org.radishpass.load.internal.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.radishpass.load.internal.drive.RequestResult;

/**
 * Calculates the figures of a run from the callers' results and the stand-ins' audit.
 *
 * @since 0.1.0
 */
public final class Figures {
    private static final double MIN_MEAN_LOAD = 1;
    private static final long MAX_RECORDED_MICROS = 120_000_000;

    private Figures() {
        // static methods only
    }

    /**
     * Counts lost, duplicated, mixed-up and cut requests, and refused orders that ran despite the verdict NOT_RUN.
     *
     * @param results the callers' results
     * @param audit the stand-ins' audit
     */
    public static Map<String, Object> audit(List<RequestResult> results, JsonNode audit) {
        JsonNode runs = audit.path("orders");
        Map<String, Object> counts = new LinkedHashMap<>();
        counts.put(
                "lost",
                count(
                        results,
                        result -> result.outcome() == RequestResult.Outcome.LOST || answeredWithoutRun(result, runs)));
        counts.put("doubled", count(results, result -> result.duplicateTokens() > 0 || orderRuns(result, runs) > 1));
        counts.put("crossed", count(results, result -> result.outcome() == RequestResult.Outcome.CROSSED));
        counts.put("cut", count(results, result -> result.outcome() == RequestResult.Outcome.CUT));
        counts.put("falseNotRun", count(results, result -> ranDespiteNotRun(result, runs)));
        return counts;
    }

    private static int count(List<RequestResult> results, Predicate<RequestResult> wanted) {
        return (int) results.stream().filter(wanted).count();
    }

    private static int orderRuns(RequestResult result, JsonNode runs) {
        return result.arrival().workload().placesOrders()
                ? runs.path(result.arrival().chatOrOrderId()).asInt()
                : 0;
    }

    private static boolean answeredWithoutRun(RequestResult result, JsonNode runs) {
        boolean answered = result.outcome() == RequestResult.Outcome.ANSWERED;
        return answered && result.arrival().workload().placesOrders() && orderRuns(result, runs) == 0;
    }

    private static boolean ranDespiteNotRun(RequestResult result, JsonNode runs) {
        boolean notRun = result.outcome() == RequestResult.Outcome.REFUSED && "NOT_RUN".equals(result.verdict());
        return notRun && orderRuns(result, runs) > 0;
    }

    /**
     * Calculates cache reuse: the share of prompt tokens that were cached, and the share with a perfect cache.
     *
     * @param before the audit at the start of the measurement
     * @param after the audit at the end of the measurement
     * @param results the callers' results
     */
    public static Map<String, Object> reuse(JsonNode before, JsonNode after, List<RequestResult> results) {
        long prompt = sumOverEngines(after, "promptTokens") - sumOverEngines(before, "promptTokens");
        long cached = sumOverEngines(after, "cachedTokens") - sumOverEngines(before, "cachedTokens");
        long wanted = 0;
        long reusable = 0;
        for (RequestResult result : results) {
            wanted += result.arrival().promptTokens();
            reusable += result.arrival().maxReusableTokens();
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
     * Calculates load skew from samples of the engines' true load. Skips samples with a mean load below 1.
     *
     * @param samples the samples, each with the load of every serving engine
     * @param bound the allowed multiple of the mean load
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
            if (mean < MIN_MEAN_LOAD) {
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
     * Calculates percentiles of the time to the first token, in total and by workspace.
     *
     * @param results the callers' results
     */
    public static Map<String, Object> firstTokenTimes(List<RequestResult> results) {
        Map<String, Histogram> byWorkspace = new LinkedHashMap<>();
        Histogram all = new Histogram(MAX_RECORDED_MICROS, 3);
        for (RequestResult result : results) {
            if (result.outcome() != RequestResult.Outcome.ANSWERED) {
                continue;
            }
            long micros = Math.min(MAX_RECORDED_MICROS, result.firstTokenNanos() / 1_000);
            byWorkspace
                    .computeIfAbsent(
                            result.arrival().workload().workspace(), name -> new Histogram(MAX_RECORDED_MICROS, 3))
                    .recordValue(micros);
            if (!result.arrival().workload().placesOrders()
                    && result.arrival().workload().streamsAnswers()) {
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
     * @param results the callers' results
     * @param seconds how long load ran, in seconds
     */
    public static Map<String, Object> counts(List<RequestResult> results, double seconds) {
        long answered = results.stream()
                .filter(result -> result.outcome() == RequestResult.Outcome.ANSWERED)
                .count();
        Map<String, Integer> refusals = new LinkedHashMap<>();
        results.stream()
                .filter(result -> result.outcome() == RequestResult.Outcome.REFUSED)
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

    private static long sumOverEngines(JsonNode audit, String count) {
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
