package org.radishpass.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/** Reads log files that have one JSON object per line. */
final class JsonLogReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private JsonLogReader() {
        // static methods only
    }

    /**
     * Passes each JSON object in the log files to a consumer.
     *
     * @param files the log files; text before the first opening brace of a line, and lines without one, are ignored
     * @param consumer receives the parsed object of each line
     * @return the number of lines that contain an opening brace but no valid JSON
     * @throws IOException if a file cannot be read
     */
    static int read(List<Path> files, Consumer<JsonNode> consumer) throws IOException {
        int unreadable = 0;
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
                for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                    int start = text.indexOf('{');
                    if (start < 0) {
                        continue;
                    }
                    try {
                        consumer.accept(JSON.readTree(text.substring(start)));
                    } catch (JsonProcessingException e) {
                        unreadable++;
                    }
                }
            }
        }
        return unreadable;
    }
}
