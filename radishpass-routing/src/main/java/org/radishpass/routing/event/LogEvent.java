package org.radishpass.routing.event;

import net.logstash.logback.argument.StructuredArgument;
import net.logstash.logback.argument.StructuredArguments;

/**
 * The events that a router writes to its log. The field {@value #FIELD} of a log line holds the name of the event.
 * docs/OPERATIONS.md lists all events, and a test compares that page with this list.
 *
 * @since 0.2.0
 */
public enum LogEvent {
    /** See {@link #meaning}. */
    START("start", "the process has started; callers may not be served yet"),
    /** See {@link #meaning}. */
    SERVING("serving", "callers are served from now on"),
    /** See {@link #meaning}. */
    RELOAD("reload", "the settings file was read anew"),
    /** See {@link #meaning}. */
    SUSPENDED("suspended", "the machine was suspended for `millis`; all ages count them"),
    /** See {@link #meaning}. */
    STOP("stop", "the process was told to stop; it is no longer ready"),
    /** See {@link #meaning}. */
    STOPPED("stopped", "the process ends; `active` requests were still in progress"),
    /** See {@link #meaning}. */
    CONFIGURATION("configuration", "a configuration came into force; `version`, and where it came from"),
    /** See {@link #meaning}. */
    ENDPOINTS("endpoints", "the list of endpoints has changed; `position` is the era and revision of the store"),
    /** See {@link #meaning}. */
    DRAINS("drains", "the data centres whose endpoints get nothing new, after a change; where it came from"),
    /** See {@link #meaning}. */
    ENTRY_UNUSABLE(
            "entry-unusable", "an entry of the list names no endpoint to use; `fault` says why; the others hold"),
    /** See {@link #meaning}. */
    ENTRY_MENDED("entry-mended", "such an entry is gone, or names an endpoint again"),
    /** See {@link #meaning}. */
    ENDPOINT_GONE("endpoint-gone", "another process answers at an endpoint's address"),
    /** See {@link #meaning}. */
    ENDPOINT_DOWN(
            "endpoint-down",
            "connections of this router to an endpoint fail, by `evidence`; it gets nothing until one succeeds; `peerRequests` is how many requests other routers have in flight there"),
    /** See {@link #meaning}. */
    SERVICE_UNREACHED(
            "service-unreached",
            "this router reaches no endpoint of `service`; `evidence` counts how connections failed"),
    /** See {@link #meaning}. */
    SERVICE_REACHED("service-reached", "this router reaches an endpoint of `service` again"),
    /** See {@link #meaning}. */
    PEER_PARTITION(
            "peer-partition",
            "the services of which `router` reaches no endpoint, as it has reported; none when it reaches them again"),
    /** See {@link #meaning}. */
    ENDPOINT_ENDED(
            "endpoint-ended",
            "an endpoint's answers broke off and it refuses connections: its process has ended; `atWork` names the requests, "
                    + "and the parts of those prompts that it had not begun to answer"),
    /** See {@link #meaning}. */
    STREAM_ORIGIN_UNKNOWN(
            "stream-origin-unknown",
            "none of the routers that were asked knows which software version began a stream; the request that takes it up is refused"),
    /** See {@link #meaning}. */
    STREAM_VERSIONS(
            "stream-versions",
            "the recorded software versions at which streams may have begun have changed; `record` has them, with their ends on the store's clock"),
    /** See {@link #meaning}. */
    STREAM_ORIGINS_READ(
            "stream-origins-read", "after a start, this router has read from the store what began `streams` streams"),
    /** See {@link #meaning}. */
    EXIT_CONTRADICTED(
            "endpoint-exit-contradicted",
            "an endpoint looks as if its process had ended, but other routers reach it or this router reaches none; it counts as running"),
    /** See {@link #meaning}. */
    ENDPOINT_LEAVING(
            "endpoint-leaving",
            "an endpoint is draining, as an answer stated; `source` is this router or who reported it"),
    /** See {@link #meaning}. */
    ENDPOINT_BACKOFF(
            "endpoint-backoff",
            "an endpoint rejected a request with Retry-After; `millis` is for how long it gets nothing"),
    /** See {@link #meaning}. */
    ENDPOINT_BACK("endpoint-back", "a connection to an endpoint that was down succeeded"),
    /** See {@link #meaning}. */
    ENDPOINT_FAILING(
            "endpoint-failing", "too many answers of an endpoint were errors or broke off; it is left out for 2.5 s"),
    /** See {@link #meaning}. */
    ENDPOINT_SLOW(
            "endpoint-slow",
            "three answers of an endpoint in a row took four times the usual time to begin; it is left out for 2.5 s"),
    /** See {@link #meaning}. */
    STORE_LOST("store-lost", "the store does not answer or refuses; what is known stays in force"),
    /** See {@link #meaning}. */
    STORE_RESPONSE_FAILED(
            "store-response-failed",
            "the store answered, but this router could not process the answer, which is a fault of the router; what is known stays in force"),
    /** See {@link #meaning}. */
    STORE_BACK("store-back", "the store answers again"),
    /** See {@link #meaning}. */
    STORE_HISTORY("store-history", "the store has lost its history; the configuration is read as a whole"),
    /** See {@link #meaning}. */
    STORE_RESTORED(
            "store-restored",
            "the store was restored from a snapshot, whose revisions are given out again; `source` told its `era`"),
    /** See {@link #meaning}. */
    READING_IGNORED(
            "reading-ignored",
            "a reading of the endpoints is not used; `reason`, and the `position` of the store at which it was read; the first of several"),
    /** See {@link #meaning}. */
    READING_USED("reading-used", "a reading of the endpoints is used again, after `ignored` that were not"),
    /** See {@link #meaning}. */
    LIST_SOURCE(
            "list-source",
            "whose readings of the endpoints this router uses has changed: `source` is `store` for its own, or a router"),
    /** See {@link #meaning}. */
    PEER_KNOWN("peer-known", "other routers were heard of for the first time"),
    /** See {@link #meaning}. */
    PEER_LOST("peer-lost", "another router does not answer; it is tried again after a pause"),
    /** See {@link #meaning}. */
    PEER_REMOVED("peer-removed", "the registration of a router that is gone was removed, or kept because it is newer"),
    /** See {@link #meaning}. */
    PEER_BACK("peer-back", "another router that was lost answers again"),
    /** See {@link #meaning}. */
    GATHERER("gatherer", "who gathers this router's work in flight has changed"),
    /** See {@link #meaning}. */
    PEER_DISCONNECTED("peer-disconnected", "the connection from another router has ended"),
    /** See {@link #meaning}. */
    REQUEST("request", "a request has ended; the line has every decision that was taken for it"),
    /** See {@link #meaning}. */
    REQUEST_QUARANTINED(
            "request-quarantined",
            "a request is held to end the endpoints that run it, and is refused from now on; `fingerprint` names it"),
    /** See {@link #meaning}. */
    REQUEST_TRIED("request-tried", "such a request is let through once, to find out whether that is still so"),
    /** See {@link #meaning}. */
    REQUEST_CLEARED("request-cleared", "a request with which several endpoints had ended was answered: it is harmless"),
    /** See {@link #meaning}. */
    PART_QUARANTINED(
            "part-quarantined",
            "a part of prompts is held to end the endpoints that answer it, and requests with it are refused from now on;"
                    + " `fingerprint` names it"),
    /** See {@link #meaning}. */
    PART_TRIED("part-tried", "one request with such a part is let through, to find out whether that is still so"),
    /** See {@link #meaning}. */
    PART_CLEARED("part-cleared", "an endpoint has begun to answer a prompt with such a part: it is harmless"),
    /** See {@link #meaning}. */
    RETRIES_EXHAUSTED(
            "retries-exhausted",
            "this router may send no more retries to `service` for now; requests that fail there are answered as they are; `decision` has the figures"),
    /** See {@link #meaning}. */
    RETRIES_AVAILABLE(
            "retries-available", "no retry to `service` has been denied for 2 s; `denied` were since the line before"),
    /** See {@link #meaning}. */
    REFUSING(
            "refusing",
            "requests are refused that cannot be served in time, the first for 10 s; with the inputs of the decision"),
    /** See {@link #meaning}. */
    SHARES(
            "shares",
            "whether requests to `service` are admitted by shares has changed: `contended` is true from its first refusal for lack of capacity until there has been none for some seconds"),
    /** See {@link #meaning}. */
    DEMAND_IMPOSSIBLE(
            "demand-impossible",
            "a router reported demand with impossible figures; it is not used; `dropped` is how many such reports there were since the last line"),
    /** See {@link #meaning}. */
    UNSOLICITED_BYTES(
            "unsolicited-bytes",
            "an endpoint sent bytes that belong to no response; `phase` says when, `connection` on which connection; `suppressed` lines were left out before"),
    /** See {@link #meaning}. */
    HEAD_REJECTED(
            "head-rejected",
            "the head of a response was rejected, for `reason`, while `request` waited; `suppressed` lines were left out before"),
    /** See {@link #meaning}. */
    MALFORMED("malformed", "a request was refused before it was whole: malformed or larger than the limits"),
    /** See {@link #meaning}. */
    LOG_SUPPRESSED("log-suppressed", "lines that were left out in the second before, to keep the volume bounded");

    /** The field of a log line that holds the name of the event. */
    public static final String FIELD = "event";

    private final String text;
    private final String meaning;

    LogEvent(String text, String meaning) {
        this.text = text;
        this.meaning = meaning;
    }

    /** Returns the name of the event as written in the log. */
    public String text() {
        return text;
    }

    /** Returns the description of the event, as printed in docs/OPERATIONS.md. */
    public String meaning() {
        return meaning;
    }

    /** Returns the structured argument that adds the event's name to a log line. */
    public StructuredArgument field() {
        return StructuredArguments.kv(FIELD, text);
    }
}
