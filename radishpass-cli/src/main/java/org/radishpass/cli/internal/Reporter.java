package org.radishpass.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.PrintStream;

/**
 * Prints the results and errors of a command.
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
     * @param out the stream for results
     * @param err the stream for errors
     */
    public Reporter(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Prints one line of a result.
     *
     * @param text the line
     */
    public void line(String text) {
        out.println(text);
    }

    /**
     * Prints an error message.
     *
     * @param text the error message
     */
    public void error(String text) {
        err.println("radishpass: " + text);
    }

    /**
     * Prints a document as JSON or YAML.
     *
     * @param document the document
     * @param json whether to print JSON; YAML otherwise
     */
    public void document(JsonNode document, boolean json) {
        try {
            out.print(
                    json
                            ? JSON.writeValueAsString(document) + System.lineSeparator()
                            : YAML.writeValueAsString(document));
        } catch (JsonProcessingException e) {
            error("a document cannot be shown: " + e.getOriginalMessage());
        }
    }
}
