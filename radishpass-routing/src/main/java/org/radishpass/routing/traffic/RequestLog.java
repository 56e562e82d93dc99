package org.radishpass.routing.traffic;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.radishpass.routing.admission.AdmissionRefusal;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.InProgressRequest;
import org.radishpass.routing.reachability.ExitCorroboration;
import org.radishpass.routing.stream.StreamOrigin;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a log record for each request and for each change in the assumed state of an endpoint. The number of lines per
 * second is limited; beyond the first limit only unsuccessful requests are logged. The number of suppressed lines is
 * logged as well. Confined to the traffic event loop.
 */
final class RequestLog {
    private static final Logger LOG = LoggerFactory.getLogger("org.radishpass.routing.requests");

    /**
     * Maximum number of lines per second for successful requests; twice the request rate of a router in current
     * deployments.
     */
    private static final int MAX_SUCCESS_LINES_PER_SECOND = 60;

    /** Maximum number of request lines per second; about 100 KB. */
    private static final int MAX_LINES_PER_SECOND = 200;

    /**
     * Maximum number of requests listed when an endpoint exits; larger than the number that an engine of current
     * deployments executes for one router.
     */
    private static final int MAX_LISTED_REQUESTS = 32;

    /**
     * Maximum number of request lines per second beyond which requests that are not admitted are not logged. They are
     * many while processor time is short, and their lines differ little.
     */
    private static final int MAX_REFUSED_LINES_PER_SECOND = 60;

    /** Milliseconds without a refusal after which the next refusal is logged as the first of a series. */
    private static final long REFUSING_PAUSE_MILLIS = 10_000;

    private final MeterRegistry metrics;
    private final ResponseEndMetrics responseEnds;
    private final ContinuedStreams continuedStreams;
    private final RetryMonitor retries;
    private final LogLineLimit lines;
    private final Counter exits;
    private final Counter unansweredExits;
    private final Counter contradictedExits;
    private final Map<String, Timer> timers = new HashMap<>();
    private long refusedAtMillis = -REFUSING_PAUSE_MILLIS;

    RequestLog(MeterRegistry metrics) {
        this.metrics = metrics;
        this.responseEnds = new ResponseEndMetrics(metrics);
        this.continuedStreams = new ContinuedStreams(metrics);
        this.retries = new RetryMonitor(metrics);
        this.lines = new LogLineLimit(metrics);
        this.exits = Counter.builder("radishpass.endpoint.ends")
                .description("endpoints whose process ended with requests of this router at work")
                .register(metrics);
        this.unansweredExits = Counter.builder("radishpass.endpoint.ends.unanswered")
                .description(
                        "endpoints whose process ended with requests of this router that they had not begun to answer")
                .register(metrics);
        this.contradictedExits = Counter.builder("radishpass.endpoint.ends.contradicted")
                .description("endpoints that refused connections to this router and most likely run on")
                .register(metrics);
    }

    /** Returns the counters of how responses ended. */
    ResponseEndMetrics responseEnds() {
        return responseEnds;
    }

    /** Returns the counters of streams that are continued at another endpoint. */
    ContinuedStreams continuedStreams() {
        return continuedStreams;
    }

    /** Returns what records the decisions on retries. */
    RetryMonitor retries() {
        return retries;
    }

    /** Logs that an endpoint which refuses connections to this router counts as running. */
    void exitContradicted(ServiceEndpoint endpoint, ExitCorroboration.Contradiction contradiction) {
        contradictedExits.increment();
        LOG.info(
                "endpoint {} at {} refused a connection after responses had failed, but {}; its process counts as running",
                endpoint.id(),
                endpoint.address(),
                contradiction.text(),
                LogEvent.EXIT_CONTRADICTED.field());
    }

    /** Logs the end of a request and records its duration. */
    void finished(ExchangeRecord record, long nowMillis) {
        finished(record, record.answered() ? MAX_SUCCESS_LINES_PER_SECOND : MAX_LINES_PER_SECOND, nowMillis);
    }

    private void finished(ExchangeRecord record, int maxLines, long nowMillis) {
        timer(record).record(Duration.ofMillis(nowMillis - record.receivedAtMillis()));
        if (!lines.admit(maxLines, nowMillis)) {
            return;
        }
        LOG.info(
                "request {} {}",
                record.requestId(),
                record.outcome(),
                LogEvent.REQUEST.field(),
                kv("request", record.requestId()),
                kv("configuration", record.configurationVersion()),
                kv("configurationAge", record.configurationAgeMillis()),
                kv("route", record.terms().route().name()),
                kv("kind", record.terms().kind()),
                kv(
                        "workspace",
                        record.terms()
                                .workspace()
                                .map(org.radishpass.routing.config.Workspace::name)
                                .orElse("")),
                kv("service", record.terms().service()),
                kv("fingerprint", record.features().request().toString()),
                kv("parts", record.loggedParts()),
                kv("cause", record.causeText()),
                kv("urgency", record.terms().urgency()),
                kv("share", record.shareText()),
                kv("resumes", Objects.requireNonNullElse(record.terms().resumedRequestId(), "")),
                kv("origin", record.origin().map(StreamOrigin::toString).orElse("")),
                kv("originFrom", record.originSource()),
                kv("attempts", record.attempts().stream().map(Object::toString).toList()),
                kv("retries", record.retryDecisions()),
                kv("status", record.status()),
                kv("verdict", record.verdict()),
                kv("target", record.terms().route().targetLatencyMillis()),
                kv("began", record.responseAfterMillis()),
                kv("millis", nowMillis - record.receivedAtMillis()),
                kv("relayedFor", record.relayedFor()));
    }

    /** Logs that a request is not admitted, and that the router refuses requests if it did not do so before. */
    void refused(ExchangeRecord record, AdmissionRefusal refusal, long nowMillis) {
        if (nowMillis - refusedAtMillis >= REFUSING_PAUSE_MILLIS) {
            LOG.info(
                    "the router refuses requests that cannot be served in time: {}",
                    refusal.inputs(nowMillis),
                    LogEvent.REFUSING.field(),
                    kv("rate", Math.round(refusal.startsPerSecond())),
                    kv("waiting", refusal.queued()));
        }
        refusedAtMillis = nowMillis;
        finished(record, MAX_REFUSED_LINES_PER_SECOND, nowMillis);
    }

    void refusedEarly(int status, String detail) {
        LOG.info(
                "refused a request before it was completely received: {}; closing the connection",
                detail,
                LogEvent.MALFORMED.field(),
                kv("status", status));
    }

    void endpointDown(ServiceEndpoint endpoint, ConnectFailure failure, int peerRequests) {
        LOG.info(
                "endpoint {} at {} cannot be reached by this router: {}; it receives no requests until a connection succeeds",
                endpoint.id(),
                endpoint.address(),
                failure.cause(),
                LogEvent.ENDPOINT_DOWN.field(),
                kv("evidence", failure.evidence().text()),
                kv("peerRequests", peerRequests));
    }

    void endpointBack(ServiceEndpoint endpoint) {
        LOG.info(
                "endpoint {} at {} can be reached again; it receives requests again",
                endpoint.id(),
                endpoint.address(),
                LogEvent.ENDPOINT_BACK.field());
    }

    void endpointExited(ServiceEndpoint endpoint, List<InProgressRequest> inFlightRequests) {
        exits.increment();
        if (inFlightRequests.stream()
                .anyMatch(request -> !request.unansweredParts().isEmpty())) {
            unansweredExits.increment();
        }
        LOG.info(
                "the process of endpoint {} at {} has exited with {} requests of this router in flight",
                endpoint.id(),
                endpoint.address(),
                inFlightRequests.size(),
                LogEvent.ENDPOINT_ENDED.field(),
                kv(
                        "atWork",
                        inFlightRequests.stream()
                                .limit(MAX_LISTED_REQUESTS)
                                .map(Object::toString)
                                .toList()));
    }

    void endpointLeaving(ServiceEndpoint endpoint) {
        LOG.info(
                "endpoint {} at {} is draining, as its response states; it receives no new requests",
                endpoint.id(),
                endpoint.address(),
                LogEvent.ENDPOINT_LEAVING.field(),
                kv("source", "answer"));
    }

    void endpointBackoff(ServiceEndpoint endpoint, long backoffMillis) {
        LOG.info(
                "endpoint {} at {} rejected a request with Retry-After; it receives no requests until the backoff ends",
                endpoint.id(),
                endpoint.address(),
                LogEvent.ENDPOINT_BACKOFF.field(),
                kv("millis", backoffMillis));
    }

    void endpointFailing(ServiceEndpoint endpoint) {
        LOG.info(
                "endpoint {} at {} fails too many requests; sending it no requests for a while",
                endpoint.id(),
                endpoint.address(),
                LogEvent.ENDPOINT_FAILING.field());
    }

    void endpointSlow(ServiceEndpoint endpoint, long thresholdMillis) {
        LOG.info(
                "endpoint {} at {} takes more than {} ms to start its responses; sending it no requests for a while",
                endpoint.id(),
                endpoint.address(),
                thresholdMillis,
                LogEvent.ENDPOINT_SLOW.field());
    }

    private Timer timer(ExchangeRecord record) {
        String kind = record.terms().kind().name();
        String result = record.status() == 0 ? "broken" : Integer.toString(record.status());
        return timers.computeIfAbsent(
                kind + result,
                key -> Timer.builder("radishpass.request")
                        .description("time from a request's head to its end")
                        .tag("kind", kind)
                        .tag("status", result)
                        .publishPercentileHistogram()
                        .minimumExpectedValue(Duration.ofMillis(5))
                        .maximumExpectedValue(Duration.ofSeconds(20))
                        .register(metrics));
    }
}
