package org.radishpass.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A finished request, parsed from the log line that a router writes at its end. Times are in milliseconds since the
 * request arrived, or -1 if the event did not happen.
 *
 * @param vm the VM of the router
 * @param fromCaller whether the router took the request from its caller, not from another router
 * @param outcome the message of the log line, which says how the request ended
 * @param route the name of the request's route
 * @param workspace the name of the request's workspace, or empty
 * @param second the timestamp of the log line, cut to whole seconds
 * @param status the HTTP status of the answer; 0 if the caller got no complete answer
 * @param targetMillis the target time to the start of the answer; 0 if the route sets none
 * @param beganMillis the time at which the answer began
 * @param attempts the attempts to run the request at an endpoint, in order
 */
record LoggedRequest(
        String vm,
        boolean fromCaller,
        String outcome,
        String route,
        String workspace,
        String second,
        int status,
        long targetMillis,
        long beganMillis,
        List<Attempt> attempts) {
    private static final String REQUEST_EVENT = "request";
    private static final int TIMESTAMP_LENGTH_TO_SECOND = "2026-01-01T00:00:00".length();
    private static final Pattern ATTEMPT_PATTERN =
            Pattern.compile("^(\\S+) .*chosen (-?\\d+) sent (-?\\d+) head (-?\\d+)");

    /** Tells whether a log line reports the end of a request. */
    static boolean isRequestEvent(JsonNode line) {
        return line.path("event").asText().equals(REQUEST_EVENT);
    }

    /** Parses a log line that reports the end of a request. */
    static LoggedRequest of(JsonNode line) {
        List<Attempt> attempts = new ArrayList<>();
        line.path("attempts").forEach(attempt -> Attempt.parse(attempt.asText(), attempts));
        String time = line.path("@timestamp").asText();
        return new LoggedRequest(
                line.path("vm").asText("-"),
                line.path("relayedFor").asText().isEmpty(),
                line.path("message").asText(),
                line.path("route").asText(),
                line.path("workspace").asText(),
                time.substring(0, Math.min(TIMESTAMP_LENGTH_TO_SECOND, time.length())),
                line.path("status").asInt(),
                line.path("target").asLong(),
                line.path("began").asLong(-1),
                attempts);
    }

    /** Tells whether the answer was complete and successful but began after the target time. */
    boolean late() {
        return served() && targetMillis > 0 && beganMillis > targetMillis;
    }

    /** Tells whether the answer was complete and successful, in time or late. */
    boolean served() {
        return status > 0 && status < 400;
    }

    /** Tells whether the configuration allows the request, so that an answer was owed. */
    boolean owed() {
        return status != 401 && status != 403 && status != 404;
    }

    /** Tells whether the answer was complete and successful and began within the target time. */
    boolean inTime() {
        return served() && !late();
    }

    /** Returns the last attempt, or {@link Attempt#NONE} if there was none. */
    Attempt lastAttempt() {
        return attempts.isEmpty() ? Attempt.NONE : attempts.get(attempts.size() - 1);
    }

    /**
     * One attempt to run the request at an endpoint.
     *
     * @param endpoint the id of the endpoint
     * @param chosenMillis the time at which the endpoint was chosen
     * @param sentMillis the time at which the request was sent
     * @param headMillis the time at which the head of the answer arrived
     */
    record Attempt(String endpoint, long chosenMillis, long sentMillis, long headMillis) {
        static final Attempt NONE = new Attempt("-", -1, -1, -1);

        private static void parse(String text, List<Attempt> attempts) {
            Matcher matcher = ATTEMPT_PATTERN.matcher(text);
            if (matcher.find()) {
                attempts.add(new Attempt(
                        matcher.group(1),
                        Long.parseLong(matcher.group(2)),
                        Long.parseLong(matcher.group(3)),
                        Long.parseLong(matcher.group(4))));
            }
        }
    }
}
