package org.radishpass.load.internal.report;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the figures that routers publish.
 *
 * @param bytes the bytes of control traffic, by kind, of all routers together
 * @param attempts the attempts at endpoints
 * @param controlCpuSeconds the processor time of control threads
 * @param heapBytes the heap in use
 * @since 0.1.0
 */
public record RouterMetrics(Map<String, Double> bytes, double attempts, double controlCpuSeconds, double heapBytes) {
    private static final Pattern BYTES =
            Pattern.compile("radishpass_control_bytes_total\\{.*kind=\"([^\"]+)\".*\\} ([0-9.E+]+)");
    private static final Pattern ATTEMPTS = Pattern.compile("radishpass_attempts_total\\{.*\\} ([0-9.E+]+)");
    private static final Pattern CPU = Pattern.compile("radishpass_control_cpu_seconds_total ([0-9.E+-]+)");
    private static final Pattern HEAP = Pattern.compile("radishpass_heap_used_bytes ([0-9.E+]+)");

    /**
     * Adds up the pages of several routers.
     *
     * @param pages the pages in Prometheus's format
     */
    public static RouterMetrics of(List<String> pages) {
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
     * Returns the bytes a second for each router, by kind, since an earlier reading.
     *
     * @param before the earlier reading
     * @param seconds the time between
     * @param routers the number of routers
     */
    public Map<String, Double> bytesPerSecond(RouterMetrics before, double seconds, int routers) {
        Map<String, Double> rates = new LinkedHashMap<>();
        bytes.forEach((kind, count) ->
                rates.put(kind, (count - before.bytes().getOrDefault(kind, 0.0)) / seconds / routers));
        return rates;
    }
}
