package org.radishpass.load.internal.slope;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Report of measured slopes, which is stored as JSON and printed as tables.
 *
 * @param series the quantities that were measured at several sizes
 * @param messages the cost of each kind of message
 * @since 0.1.0
 */
public record SlopeReport(List<Series> series, List<SlopeBench.MessageCost> messages) {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /**
     * Reads a report from a JSON file.
     *
     * @param file the JSON file
     * @throws IOException if the file cannot be read
     */
    public static SlopeReport read(Path file) throws IOException {
        return JSON.readValue(file.toFile(), SlopeReport.class);
    }

    /**
     * Writes the report to a JSON file.
     *
     * @param file the JSON file
     * @throws IOException if the file cannot be written
     */
    public void write(Path file) throws IOException {
        JSON.writeValue(file.toFile(), this);
    }

    /** Returns the lines of Markdown tables with all measurements. */
    public List<String> tables() {
        List<String> lines = new ArrayList<>();
        lines.add("| measured | unit | sizes: values | slope | fit's error | at the target |");
        lines.add("|---|---|---|---|---|---|");
        for (Series quantity : series) {
            LinearFit fit = quantity.fit();
            StringBuilder values = new StringBuilder();
            quantity.points().forEach(point -> values.append(format("%.0f: %.4g; ", point.size(), point.value())));
            lines.add(format(
                    "| %s | %s | %s%s | %.4g per %s | %.0f%% | %.4g at %.0f |",
                    quantity.name(),
                    quantity.unit(),
                    values,
                    quantity.variable(),
                    fit.slope(),
                    quantity.variable(),
                    fit.maxRelativeError() * 100,
                    fit.valueAt(quantity.target()),
                    quantity.target()));
        }
        lines.add("");
        lines.add("| message | bytes | write, us | read, us |");
        lines.add("|---|---|---|---|");
        messages.forEach(cost -> lines.add(format(
                "| %s | %d | %.2f | %.2f |", cost.kind(), cost.bytes(), cost.encodeMicros(), cost.decodeMicros())));
        return lines;
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
