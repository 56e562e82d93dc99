package org.radishpass.routing.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.radishpass.routing.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Limits the log lines of requests in each second, and counts those that are left out. */
final class LogLineLimit {
    private static final Logger LOG = LoggerFactory.getLogger("org.radishpass.routing.requests");
    private static final long SECOND_MILLIS = 1_000;

    private final Counter suppressed;
    private long currentSecond = Long.MIN_VALUE;
    private int linesInSecond;
    private long suppressedLines;

    LogLineLimit(MeterRegistry metrics) {
        this.suppressed = Counter.builder("radishpass.log.suppressed")
                .description("log lines left out to keep the volume bounded")
                .register(metrics);
    }

    /**
     * Tells whether a line may be written, and logs how many were not since the last second with a line.
     *
     * @param maxLines the number of lines in a second from which on the line is not written
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    boolean admit(int maxLines, long nowMillis) {
        long now = Math.floorDiv(nowMillis, SECOND_MILLIS);
        if (now != currentSecond) {
            currentSecond = now;
            linesInSecond = 0;
            if (suppressedLines > 0) {
                LOG.info("{} log lines were suppressed", suppressedLines, LogEvent.LOG_SUPPRESSED.field());
                suppressedLines = 0;
            }
        }
        if (linesInSecond >= maxLines) {
            suppressedLines++;
            suppressed.increment();
            return false;
        }
        linesInSecond++;
        return true;
    }
}
