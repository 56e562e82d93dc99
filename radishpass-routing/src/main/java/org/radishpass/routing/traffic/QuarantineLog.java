package org.radishpass.routing.traffic;

import static net.logstash.logback.argument.StructuredArguments.kv;

import net.logstash.logback.argument.StructuredArgument;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.QuarantineListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs changes in the status of features of requests that may crash endpoints. */
final class QuarantineLog implements QuarantineListener {
    private static final Logger LOG = LoggerFactory.getLogger("org.radishpass.routing.requests");

    @Override
    public void quarantined(CrashCause cause, int count, String origin) {
        LOG.warn(
                "{} {} is quarantined; requests with it are refused from now on: {} endpoints exited one after the other while"
                        + " executing them, the last reported by {}",
                cause.kind().text(),
                cause,
                count,
                origin,
                event(cause, LogEvent.REQUEST_QUARANTINED, LogEvent.PART_QUARANTINED),
                kv("fingerprint", cause.toString()),
                kv("ends", count));
    }

    @Override
    public void tried(CrashCause cause, int count) {
        LOG.warn(
                "testing quarantined {} {} with one request at one endpoint; {} endpoints exited while executing such requests",
                cause.kind().text(),
                cause,
                count,
                event(cause, LogEvent.REQUEST_TRIED, LogEvent.PART_TRIED),
                kv("fingerprint", cause.toString()),
                kv("ends", count));
    }

    @Override
    public void cleared(CrashCause cause, int count) {
        LOG.info(
                "{} {} was answered and is no longer suspected of crashing endpoints; {} endpoints exited while executing it",
                cause.kind().text(),
                cause,
                count,
                event(cause, LogEvent.REQUEST_CLEARED, LogEvent.PART_CLEARED),
                kv("fingerprint", cause.toString()),
                kv("ends", count));
    }

    private static StructuredArgument event(CrashCause cause, LogEvent ofRequest, LogEvent ofPart) {
        return switch (cause.kind()) {
            case REQUEST -> ofRequest.field();
            case PROMPT_PART -> ofPart.field();
        };
    }
}
