package org.radishpass.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The numbers of requests in router logs that were not answered in time, by cause, route, workspace, last endpoint and
 * second.
 *
 * @since 0.4.0
 */
public final class Losses {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The maximum number of rows of a printed table. */
    private static final int MAX_ROWS = 12;

    private final List<LoggedRequest> lostRequests = new ArrayList<>();
    private final Map<String, ServedCount> callerRequestsByVm = new TreeMap<>();
    private int inTimeCount;
    private int unreadableLines;

    private Losses() {
        // created and filled by read()
    }

    /**
     * Reads log files and counts their requests.
     *
     * @param files the log files, one JSON object per line; text before the object on a line is ignored
     * @throws IOException if a file cannot be read
     */
    public static Losses read(List<Path> files) throws IOException {
        Losses losses = new Losses();
        losses.unreadableLines = JsonLogReader.read(files, losses::addLine);
        return losses;
    }

    private void addLine(JsonNode line) {
        if (!LoggedRequest.isRequestEvent(line)) {
            return;
        }
        LoggedRequest request = LoggedRequest.of(line);
        if (request.fromCaller() && request.owed()) {
            callerRequestsByVm
                    .computeIfAbsent(request.vm(), vm -> new ServedCount())
                    .add(request.served());
        }
        if (request.inTime()) {
            inTimeCount++;
        } else {
            lostRequests.add(request);
        }
    }

    /** Returns the number of lines that contain an opening brace but no valid JSON. */
    public int unreadableLines() {
        return unreadableLines;
    }

    /** Returns the counts as JSON. */
    public JsonNode json() {
        ObjectNode root = JSON.createObjectNode();
        root.put("requests", inTimeCount + lostRequests.size());
        root.put("inTime", inTimeCount);
        root.set(
                "causes",
                JSON.valueToTree(countBy(request -> LossCause.of(request).name())));
        root.set("routes", JSON.valueToTree(countBy(LoggedRequest::route)));
        root.set("workspaces", JSON.valueToTree(countBy(LoggedRequest::workspace)));
        root.set(
                "endpoints",
                JSON.valueToTree(countBy(request -> request.lastAttempt().endpoint())));
        root.set("routers", routersJson());
        root.set("seconds", JSON.valueToTree(countBy(LoggedRequest::second)));
        return root;
    }

    private JsonNode routersJson() {
        ObjectNode routers = JSON.createObjectNode();
        callerRequestsByVm.forEach((vm, count) ->
                routers.putObject(vm).put("requests", count.total).put("served", count.served));
        return routers;
    }

    /** Returns the lines of the printed tables. */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        lines.add("requests " + (inTimeCount + lostRequests.size()) + ", in time " + inTimeCount + ", not in time "
                + lostRequests.size());
        addTable(lines, "cause", request -> LossCause.of(request).text());
        addTable(lines, "route", LoggedRequest::route);
        addTable(lines, "workspace", LoggedRequest::workspace);
        addTable(lines, "endpoint", request -> request.lastAttempt().endpoint());
        addTable(lines, "second", LoggedRequest::second);
        addRouters(lines);
        return lines;
    }

    /** Adds the share of callers' requests that each router served, those with the smallest share first. */
    private void addRouters(List<String> lines) {
        lines.add("");
        lines.add("requests served by router");
        callerRequestsByVm.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.comparingDouble(ServedCount::share)))
                .limit(MAX_ROWS)
                .forEach(count -> lines.add(String.format(
                        Locale.ROOT,
                        "%8.3f  %s: %d of %d",
                        count.getValue().share(),
                        count.getKey(),
                        count.getValue().served,
                        count.getValue().total)));
    }

    private void addTable(List<String> lines, String title, Function<LoggedRequest, String> key) {
        lines.add("");
        lines.add("by " + title);
        countBy(key).entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(MAX_ROWS)
                .forEach(count -> lines.add(String.format(Locale.ROOT, "%8d  %s", count.getValue(), count.getKey())));
    }

    private Map<String, Integer> countBy(Function<LoggedRequest, String> key) {
        Map<String, Integer> counts = new TreeMap<>();
        lostRequests.forEach(request -> counts.merge(key.apply(request), 1, Integer::sum));
        return counts;
    }

    /** The number of requests of one router, and how many of them were served. */
    private static final class ServedCount {
        private int served;
        private int total;

        private void add(boolean isServed) {
            total++;
            served += isServed ? 1 : 0;
        }

        private double share() {
            return (double) served / total;
        }
    }
}
