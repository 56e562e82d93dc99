package org.radishpass.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.PrintStream;

/**
 * Takes what a command has to say: results for people or programs, and faults.
 *
 * @since 0.1.0
 */
public final class Reporter {
    private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates a reporter.
     *
     * @param out where results go
     * @param err where faults go
     */
    public Reporter(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Reports a line.
     *
     * @param text the line
     */
    public void line(String text) {
        out.println(text);
    }

    /**
     * Reports a fault.
     *
     * @param text what is wrong
     */
    public void fault(String text) {
        err.println("radishpass: " + text);
    }

    /**
     * Reports a document.
     *
     * @param document the document
     * @param json whether it is for programs
     */
    public void document(JsonNode document, boolean json) {
        try {
            out.print(
                    json
                            ? JSON.writeValueAsString(document) + System.lineSeparator()
                            : YAML.writeValueAsString(document));
        } catch (JsonProcessingException e) {
            fault("a document cannot be shown: " + e.getOriginalMessage());
        }
    }
}
