package org.radishpass.load.internal.report;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Metrics of all routers together.
 *
 * @param controlBytes the bytes of control traffic by kind
 * @param attempts the number of attempts at endpoints
 * @param controlCpuSeconds the CPU time of control threads, in seconds
 * @param heapBytes the heap in use, in bytes
 * @since 0.1.0
 */
public record RouterMetrics(
        Map<String, Double> controlBytes, double attempts, double controlCpuSeconds, double heapBytes) {
    private static final Pattern BYTES =
            Pattern.compile("radishpass_control_bytes_total\\{.*kind=\"([^\"]+)\".*\\} ([0-9.E+]+)");
    private static final Pattern ATTEMPTS = Pattern.compile("radishpass_attempts_total\\{.*\\} ([0-9.E+]+)");
    private static final Pattern CPU = Pattern.compile("radishpass_control_cpu_seconds_total ([0-9.E+-]+)");
    private static final Pattern HEAP = Pattern.compile("radishpass_heap_used_bytes ([0-9.E+]+)");

    /**
     * Parses the metrics of several routers and adds them up.
     *
     * @param pages each router's metrics in the Prometheus text format
     */
    public static RouterMetrics parse(List<String> pages) {
        Map<String, Double> bytes = new TreeMap<>();
        for (String page : pages) {
            for (String line : page.split("\n", -1)) {
                Matcher matcher = BYTES.matcher(line);
                if (matcher.matches()) {
                    bytes.merge(matcher.group(1), Double.parseDouble(matcher.group(2)), Double::sum);
                }
            }
        }
        return new RouterMetrics(bytes, sum(pages, ATTEMPTS), sum(pages, CPU), sum(pages, HEAP));
    }

    private static double sum(List<String> pages, Pattern wanted) {
        return pages.stream()
                .flatMap(page -> Arrays.stream(page.split("\n", -1)))
                .map(wanted::matcher)
                .filter(Matcher::matches)
                .mapToDouble(matcher -> Double.parseDouble(matcher.group(1)))
                .sum();
    }

    /**
     * Returns the mean control bytes per second and router, by kind, since earlier metrics.
     *
     * @param before the earlier metrics
     * @param seconds the time since the earlier metrics, in seconds
     * @param routers the number of routers
     */
    public Map<String, Double> bytesPerSecond(RouterMetrics before, double seconds, int routers) {
        Map<String, Double> rates = new LinkedHashMap<>();
        controlBytes.forEach((kind, count) ->
                rates.put(kind, (count - before.controlBytes().getOrDefault(kind, 0.0)) / seconds / routers));
        return rates;
    }
}
