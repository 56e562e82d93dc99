package org.radishpass.load.internal.slope;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The slopes that were measured, as a file and as tables.
 *
 * @param series quantities at several sizes
 * @param messages what messages cost
 * @since 0.1.0
 */
public record SlopeReport(List<Series> series, List<SlopeBench.MessageCost> messages) {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /**
     * Reads a report.
     *
     * @param file the file
     * @throws IOException if it cannot be read
     */
    public static SlopeReport read(Path file) throws IOException {
        return JSON.readValue(file.toFile(), SlopeReport.class);
    }

    /**
     * Writes the report.
     *
     * @param file the file
     * @throws IOException if it cannot be written
     */
    public void write(Path file) throws IOException {
        JSON.writeValue(file.toFile(), this);
    }

    /** Returns the tables of what was measured, in Markdown. */
    public List<String> tables() {
        List<String> lines = new ArrayList<>();
        lines.add("| measured | unit | sizes: values | slope | fit's error | at the target |");
        lines.add("|---|---|---|---|---|---|");
        for (Series one : series) {
            LinearFit fit = one.fit();
            StringBuilder values = new StringBuilder();
            one.points().forEach(point -> values.append(format("%.0f: %.4g; ", point.size(), point.value())));
            lines.add(format(
                    "| %s | %s | %s%s | %.4g per %s | %.0f%% | %.4g at %.0f |",
                    one.name(),
                    one.unit(),
                    values,
                    one.variable(),
                    fit.slope(),
                    one.variable(),
                    fit.error() * 100,
                    fit.at(one.target()),
                    one.target()));
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
