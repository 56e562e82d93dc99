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
 * The report of an experiment, with a part for each policy.
 *
 * @since 0.1.0
 */
public final class RunReport {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final List<String> MUST_BE_ZERO = List.of("lost", "doubled", "crossed", "cut", "falseNotRun");

    private RunReport() {
        // static methods only
    }

    /**
     * Writes a policy's figures into a report, keeping those of other policies. The figures also stand at the top.
     *
     * @param file the report
     * @param policy the policy
     * @param figures its figures
     * @throws IOException if the file cannot be read or written
     */
    public static void add(Path file, String policy, Map<String, Object> figures) throws IOException {
        ObjectNode report = Files.exists(file) && JSON.readTree(file.toFile()) instanceof ObjectNode old
                ? old
                : JSON.createObjectNode();
        ObjectNode own = JSON.valueToTree(figures);
        report.setAll(own.deepCopy());
        ObjectNode policies = report.path("policies") instanceof ObjectNode found ? found : JSON.createObjectNode();
        policies.set(policy, own);
        report.set("policies", policies);
        JSON.writeValue(file.toFile(), report);
    }

    /**
     * Tells whether the counts that must be 0 are.
     *
     * @param figures the figures
     * @param cutsAllowed whether streams may have broken off
     */
    public static boolean sound(Map<String, Object> figures, boolean cutsAllowed) {
        return MUST_BE_ZERO.stream()
                .filter(name -> !cutsAllowed || !"cut".equals(name))
                .allMatch(name -> Integer.valueOf(0).equals(figures.get(name)));
    }

    /**
     * Returns the figures for people, a line each.
     *
     * @param figures the figures
     */
    public static List<String> lines(Map<String, Object> figures) {
        JsonNode tree = JSON.valueToTree(new TreeMap<>(figures));
        List<String> lines = new java.util.ArrayList<>();
        tree.properties().forEach(entry -> {
            if (!entry.getValue().isObject()) {
                lines.add(String.format(java.util.Locale.ROOT, "%-32s %s", entry.getKey(), shown(entry.getValue())));
            }
        });
        return lines;
    }

    private static String shown(JsonNode value) {
        return value.isDouble() ? String.format(java.util.Locale.ROOT, "%.3f", value.doubleValue()) : value.asText();
    }
}
