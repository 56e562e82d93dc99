package org.radishpass.load.internal.report;

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
 * @since 0.1.0
 */
public record RouterMetrics(Map<String, Double> bytes, double attempts) {
    private static final Pattern BYTES =
            Pattern.compile("radishpass_control_bytes_total\\{.*kind=\"([^\"]+)\".*\\} ([0-9.E+]+)");
    private static final Pattern ATTEMPTS = Pattern.compile("radishpass_attempts_total\\{.*\\} ([0-9.E+]+)");

    /**
     * Adds up the pages of several routers.
     *
     * @param pages the pages in Prometheus's format
     */
    public static RouterMetrics of(List<String> pages) {
        Map<String, Double> bytes = new TreeMap<>();
        double attempts = 0;
        for (String page : pages) {
            for (String line : page.split("\n", -1)) {
                Matcher matcher = BYTES.matcher(line);
                if (matcher.matches()) {
                    bytes.merge(matcher.group(1), Double.parseDouble(matcher.group(2)), Double::sum);
                }
                Matcher attempt = ATTEMPTS.matcher(line);
                if (attempt.matches()) {
                    attempts += Double.parseDouble(attempt.group(1));
                }
            }
        }
        return new RouterMetrics(bytes, attempts);
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
