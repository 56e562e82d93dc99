package org.radishpass.routing.traffic;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.AtWork;
import org.radishpass.routing.quarantine.Quarantine;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the account of each request, and of each change in what is believed of an endpoint. Belongs to the traffic
 * thread. Beyond a number of lines a second only requests that failed are written, and how many lines were left out.
 */
final class RequestLog implements Quarantine.Listener {
    private static final Logger LOG = LoggerFactory.getLogger("org.radishpass.routing.requests");

    /** Lines a second for requests that were answered: twice what a router of today's deployments serves. */
    private static final int ANSWERED_LINES = 60;

    /** Lines a second altogether: about 100 KB. */
    private static final int ALL_LINES = 200;

    /** Requests that the line of an endpoint's end names: more than an engine of today's deployments runs of one router. */
    private static final int MOST_AT_WORK = 32;

    private static final long SECOND_MILLIS = 1_000;
    private static final int FIRST_ERROR_STATUS = 400;

    private final MeterRegistry metrics;
    private final Counter suppressed;
    private final Counter ends;
    private final Map<String, Timer> timers = new HashMap<>();
    private long second = Long.MIN_VALUE;
    private int lines;
    private long leftOut;

    RequestLog(MeterRegistry metrics) {
        this.metrics = metrics;
        this.suppressed = Counter.builder("radishpass.log.suppressed")
                .description("log lines left out to keep the volume bounded")
                .register(metrics);
        this.ends = Counter.builder("radishpass.endpoint.ends")
                .description("endpoints whose process ended with requests of this router at work")
                .register(metrics);
    }

    void finished(ExchangeRecord record, long nowMillis) {
        boolean answered = record.status() > 0 && record.status() < FIRST_ERROR_STATUS;
        timer(record).record(Duration.ofMillis(nowMillis - record.receivedAtMillis()));
        if (!admit(answered ? ANSWERED_LINES : ALL_LINES, nowMillis)) {
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
                kv("fingerprint", record.fingerprint().toString()),
                kv("urgency", record.terms().urgency()),
                kv("attempts", record.steps().stream().map(Object::toString).toList()),
                kv("status", record.status()),
                kv("verdict", record.verdict()),
                kv("target", record.terms().route().targetLatencyMillis()),
                kv("began", record.beganAfterMillis()),
                kv("millis", nowMillis - record.receivedAtMillis()));
    }

    void refusedEarly(int status, String detail) {
        LOG.info("request refused before it was whole: {}", detail, LogEvent.MALFORMED.field(), kv("status", status));
    }

    void endpointDown(ServiceEndpoint endpoint, String cause) {
        LOG.info(
                "endpoint {} at {} cannot be reached: {}",
                endpoint.id(),
                endpoint.address(),
                cause,
                LogEvent.ENDPOINT_DOWN.field());
    }

    void endpointBack(ServiceEndpoint endpoint) {
        LOG.info(
                "endpoint {} at {} can be reached again",
                endpoint.id(),
                endpoint.address(),
                LogEvent.ENDPOINT_BACK.field());
    }

    void endpointEnded(ServiceEndpoint endpoint, List<AtWork> atWork) {
        ends.increment();
        LOG.info(
                "endpoint {} at {} has ended with {} requests of this router at work",
                endpoint.id(),
                endpoint.address(),
                atWork.size(),
                LogEvent.ENDPOINT_ENDED.field(),
                kv(
                        "atWork",
                        atWork.stream()
                                .limit(MOST_AT_WORK)
                                .map(Object::toString)
                                .toList()));
    }

    @Override
    public void quarantined(RequestFingerprint request, int count, String origin) {
        LOG.warn(
                "request {} is held back: {} endpoints have ended with it at work, the last told by {}",
                request,
                count,
                origin,
                LogEvent.REQUEST_QUARANTINED.field(),
                kv("fingerprint", request.toString()),
                kv("ends", count));
    }

    @Override
    public void tried(RequestFingerprint request, int count) {
        LOG.warn(
                "request {}, with which {} endpoints have ended, is let through once",
                request,
                count,
                LogEvent.REQUEST_TRIED.field(),
                kv("fingerprint", request.toString()),
                kv("ends", count));
    }

    @Override
    public void cleared(RequestFingerprint request, int count) {
        LOG.info(
                "request {}, with which {} endpoints had ended, was answered and is not suspected any more",
                request,
                count,
                LogEvent.REQUEST_CLEARED.field(),
                kv("fingerprint", request.toString()),
                kv("ends", count));
    }

    void endpointLeaving(ServiceEndpoint endpoint) {
        LOG.info(
                "endpoint {} at {} is draining, as its answer states",
                endpoint.id(),
                endpoint.address(),
                LogEvent.ENDPOINT_LEAVING.field(),
                kv("source", "answer"));
    }

    void endpointBackoff(ServiceEndpoint endpoint, long backoffMillis) {
        LOG.info(
                "endpoint {} at {} rejected a request with Retry-After",
                endpoint.id(),
                endpoint.address(),
                LogEvent.ENDPOINT_BACKOFF.field(),
                kv("millis", backoffMillis));
    }

    void endpointFailing(ServiceEndpoint endpoint) {
        LOG.info(
                "endpoint {} at {} fails too many requests and is left out",
                endpoint.id(),
                endpoint.address(),
                LogEvent.ENDPOINT_FAILING.field());
    }

    void endpointSlow(ServiceEndpoint endpoint, long patienceMillis) {
        LOG.info(
                "endpoint {} at {} takes over {} ms to begin its answers and is left out",
                endpoint.id(),
                endpoint.address(),
                patienceMillis,
                LogEvent.ENDPOINT_SLOW.field());
    }

    private boolean admit(int most, long nowMillis) {
        long now = Math.floorDiv(nowMillis, SECOND_MILLIS);
        if (now != second) {
            second = now;
            lines = 0;
            if (leftOut > 0) {
                LOG.info("{} log lines were left out", leftOut, LogEvent.LOG_SUPPRESSED.field());
                leftOut = 0;
            }
        }
        if (lines >= most) {
            leftOut++;
            suppressed.increment();
            return false;
        }
        lines++;
        return true;
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
