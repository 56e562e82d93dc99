package org.radishpass.load.internal.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes the report of an experiment, which has a section for each policy.
 *
 * @since 0.1.0
 */
public final class RunReport {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final List<String> ERROR_COUNTS = List.of("lost", "doubled", "crossed", "cut", "falseNotRun");

    private RunReport() {
        // static methods only
    }

    /**
     * Writes a policy's figures into a report and keeps the figures of other policies. The top level of the report repeats
     * the figures of the policy that was written last.
     *
     * @param file the report file
     * @param policy the name of the policy
     * @param figures the policy's figures by name
     * @throws IOException if the file cannot be read or written
     */
    public static void add(Path file, String policy, Map<String, Object> figures) throws IOException {
        ObjectNode report = Files.exists(file) && JSON.readTree(file.toFile()) instanceof ObjectNode existing
                ? existing
                : JSON.createObjectNode();
        ObjectNode policyFigures = JSON.valueToTree(figures);
        report.setAll(policyFigures.deepCopy());
        ObjectNode policies = report.path("policies") instanceof ObjectNode found ? found : JSON.createObjectNode();
        policies.set(policy, policyFigures);
        report.set("policies", policies);
        JSON.writeValue(file.toFile(), report);
    }

    /**
     * Returns whether all error counts are 0.
     *
     * @param figures the figures
     * @param cutsAllowed whether the count of cut streams may be above 0
     */
    public static boolean passes(Map<String, Object> figures, boolean cutsAllowed) {
        return ERROR_COUNTS.stream()
                .filter(name -> !cutsAllowed || !"cut".equals(name))
                .allMatch(name -> Integer.valueOf(0).equals(figures.get(name)));
    }

    /**
     * Returns the figures as readable text, one line each. Nested figures are left out.
     *
     * @param figures the figures
     */
    public static List<String> summaryLines(Map<String, Object> figures) {
        JsonNode tree = JSON.valueToTree(new TreeMap<>(figures));
        List<String> lines = new java.util.ArrayList<>();
        tree.properties().forEach(entry -> {
            if (!entry.getValue().isObject()) {
                lines.add(String.format(
                        java.util.Locale.ROOT, "%-32s %s", entry.getKey(), formatValue(entry.getValue())));
            }
        });
        return lines;
    }

    private static String formatValue(JsonNode value) {
        return value.isDouble() ? String.format(java.util.Locale.ROOT, "%.3f", value.doubleValue()) : value.asText();
    }
}
