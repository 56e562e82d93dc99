package org.radishpass.routing.exchange;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.radishpass.routing.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs bytes of endpoints that belong to no response, and heads that are rejected. The number of log lines is
 * bounded.
 *
 * @since 0.16.0
 */
public final class DesynchronizationMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(DesynchronizationMonitor.class);

    /** The least time between two lines of one kind, in milliseconds. */
    private static final long LINE_INTERVAL_MILLIS = 100;

    private final MeterRegistry metrics;
    private final Map<ArrivalPhase, Counter> arrivals = new EnumMap<>(ArrivalPhase.class);
    private final Map<String, Counter> rejectedHeads = new HashMap<>();
    private final LineInterval unsolicitedLines = new LineInterval();
    private final LineInterval rejectedLines = new LineInterval();

    /** Creates a monitor that registers its counters. */
    public DesynchronizationMonitor(MeterRegistry metrics) {
        this.metrics = metrics;
        for (ArrivalPhase phase : ArrivalPhase.values()) {
            arrivals.put(phase, arrivalCounter(phase));
        }
    }

    /**
     * Records bytes that belong to no response.
     *
     * @param endpointId the endpoint that sent them
     * @param phase when they were received
     * @param use the last use of the connection, as written to logs
     * @param detail what was received
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void unsolicited(String endpointId, ArrivalPhase phase, String use, String detail, long nowMillis) {
        arrivals.computeIfAbsent(phase, this::arrivalCounter).increment();
        if (unsolicitedLines.admit(nowMillis)) {
            LOG.warn(
                    "endpoint {} sent bytes that belong to no response: {}; they are discarded",
                    endpointId,
                    detail,
                    LogEvent.UNSOLICITED_BYTES.field(),
                    kv("endpoint", endpointId),
                    kv("phase", phase.text()),
                    kv("connection", use),
                    kv("suppressed", unsolicitedLines.takeSuppressed()));
        }
    }

    /**
     * Records a head that was rejected.
     *
     * @param endpointId the endpoint that sent it
     * @param reason why, as written to logs and metrics
     * @param use the use of the connection, as written to logs
     * @param requestId the id of the request that waited for a response
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void headRejected(String endpointId, String reason, String use, String requestId, long nowMillis) {
        rejectedHeads
                .computeIfAbsent(
                        reason,
                        tag -> Counter.builder("radishpass.endpoint.heads.rejected")
                                .description("heads of responses that were rejected, by reason")
                                .tag("reason", tag)
                                .register(metrics))
                .increment();
        if (rejectedLines.admit(nowMillis)) {
            LOG.warn(
                    "endpoint {} sent a head that is rejected while request {} waited: {}; closing the connection",
                    endpointId,
                    requestId,
                    reason,
                    LogEvent.HEAD_REJECTED.field(),
                    kv("endpoint", endpointId),
                    kv("request", requestId),
                    kv("reason", reason),
                    kv("connection", use),
                    kv("suppressed", rejectedLines.takeSuppressed()));
        }
    }

    private Counter arrivalCounter(ArrivalPhase phase) {
        return Counter.builder("radishpass.endpoint.unsolicited")
                .description("arrivals of bytes that belonged to no response, by when they came")
                .tag("phase", phase.text())
                .register(metrics);
    }

    /** Limits the rate of lines, and counts those that are left out. */
    private static final class LineInterval {
        private long nextAtMillis = Long.MIN_VALUE;
        private long suppressed;

        boolean admit(long nowMillis) {
            if (nowMillis < nextAtMillis) {
                suppressed++;
                return false;
            }
            nextAtMillis = nowMillis + LINE_INTERVAL_MILLIS;
            return true;
        }

        long takeSuppressed() {
            long taken = suppressed;
            suppressed = 0;
            return taken;
        }
    }
}
