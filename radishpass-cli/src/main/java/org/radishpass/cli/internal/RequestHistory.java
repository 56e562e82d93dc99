package org.radishpass.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The log lines of several routers about one request, sorted by time: the lines of the request itself, and those about
 * state changes of the endpoints that the request was sent to.
 *
 * @since 0.2.0
 */
public final class RequestHistory {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TIMESTAMP = "@timestamp";
    private static final String REQUEST = "request";
    private static final String ATTEMPTS = "attempts";
    private static final String MESSAGE = "message";
    private static final String EVENT = "event";
    private static final String ENDPOINT_EVENT_PREFIX = "endpoint-";

    private final String requestId;
    private final List<JsonNode> lines;
    private final int unreadableLines;

    private RequestHistory(String requestId, List<JsonNode> lines, int unreadableLines) {
        this.requestId = requestId;
        this.lines = lines;
        this.unreadableLines = unreadableLines;
    }

    /**
     * Reads the lines about a request from log files.
     *
     * @param requestId the id of the request
     * @param files the log files, one JSON object per line; text before the object on a line is ignored
     * @throws IOException if a file cannot be read
     */
    public static RequestHistory read(String requestId, List<Path> files) throws IOException {
        List<JsonNode> requestLines = new ArrayList<>();
        List<JsonNode> endpointLines = new ArrayList<>();
        int unreadableLines = JsonLogReader.read(files, line -> classify(line, requestId, requestLines, endpointLines));
        Set<String> endpoints = attemptedEndpoints(requestLines);
        endpointLines.removeIf(line -> !mentionsAny(line, endpoints));
        List<JsonNode> lines = new ArrayList<>(requestLines);
        if (!requestLines.isEmpty()) {
            lines.addAll(endpointLines);
        }
        lines.sort(Comparator.comparing(line -> line.path(TIMESTAMP).asText()));
        return new RequestHistory(requestId, lines, unreadableLines);
    }

    /** Tells whether no log line belongs to the request. */
    public boolean empty() {
        return lines.isEmpty();
    }

    /** Returns the number of lines that contain an opening brace but no valid JSON. */
    public int unreadableLines() {
        return unreadableLines;
    }

    /** Returns the history as JSON. */
    public JsonNode json() {
        ObjectNode root = JSON.createObjectNode();
        root.put(REQUEST, requestId);
        ArrayNode array = root.putArray("lines");
        lines.forEach(array::add);
        return root;
    }

    /** Returns the printed lines of the history. */
    public List<String> table() {
        List<String> table = new ArrayList<>();
        for (JsonNode line : lines) {
            table.add(line.path(TIMESTAMP).asText() + "  " + line.path("vm").asText("-") + "  "
                    + line.path(MESSAGE).asText());
            if (line.has(ATTEMPTS)) {
                table.add("    route " + line.path("route").asText() + " of configuration "
                        + line.path("configuration").asText() + ", "
                        + line.path("kind").asText() + ", service "
                        + line.path("service").asText() + ", workspace "
                        + line.path("workspace").asText());
                line.path(ATTEMPTS).forEach(attempt -> table.add("    sent to " + attempt.asText()));
                table.add("    status " + line.path("status").asText() + ", verdict "
                        + line.path("verdict").asText() + ", after "
                        + line.path("millis").asText() + " ms");
            }
        }
        return table;
    }

    private static void classify(
            JsonNode line, String requestId, List<JsonNode> requestLines, List<JsonNode> endpointLines) {
        if (line.path(REQUEST).asText().equals(requestId)) {
            requestLines.add(line);
        } else if (line.path(EVENT).asText().startsWith(ENDPOINT_EVENT_PREFIX)) {
            endpointLines.add(line);
        }
    }

    /** Returns the ids of the endpoints that the request was sent to. The text of each attempt begins with this id. */
    private static Set<String> attemptedEndpoints(List<JsonNode> requestLines) {
        Set<String> endpoints = new LinkedHashSet<>();
        for (JsonNode line : requestLines) {
            line.path(ATTEMPTS)
                    .forEach(attempt -> endpoints.add(attempt.asText().split(" ", 2)[0]));
        }
        return endpoints;
    }

    private static boolean mentionsAny(JsonNode line, Set<String> endpoints) {
        String message = line.path(MESSAGE).asText();
        return endpoints.stream().anyMatch(message::contains);
    }
}
