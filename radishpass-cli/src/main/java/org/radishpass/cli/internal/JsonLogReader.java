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

/** Reads the JSON lines of logs. */
final class LogFiles {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LogFiles() {
        // static methods only
    }

    /**
     * Reads logs.
     *
     * @param files the logs, one JSON object a line; what stands before it on a line is ignored
     * @param taker takes each line
     * @return the number of lines that begin like JSON and are none
     * @throws IOException if a file cannot be read
     */
    static int read(List<Path> files, Consumer<JsonNode> taker) throws IOException {
        int unreadable = 0;
        for (Path file : files) {
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
                for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                    int start = text.indexOf('{');
                    if (start < 0) {
                        continue;
                    }
                    try {
                        taker.accept(JSON.readTree(text.substring(start)));
                    } catch (JsonProcessingException e) {
                        unreadable++;
                    }
                }
            }
        }
        return unreadable;
    }
}
