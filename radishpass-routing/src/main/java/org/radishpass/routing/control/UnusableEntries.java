package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import org.radishpass.routing.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports entries of the endpoint list that do not describe a usable endpoint. An entry is reported once when it first
 * appears, when its fault changes, and when it is removed or valid again, instead of at each read. Confined to the
 * control thread.
 */
final class UnusableEntries {
    private static final Logger LOG = LoggerFactory.getLogger(UnusableEntries.class);

    private final MeterRegistry metrics;
    private final EntryReports reports = new EntryReports();
    private volatile int current;

    UnusableEntries(MeterRegistry metrics) {
        this.metrics = metrics;
        Gauge.builder("radishpass.entries.unusable.current", this, entries -> entries.current)
                .description("entries of the list of endpoints that were unusable at the last read")
                .register(metrics);
    }

    /** Applies the unusable entries of a read and reports the changes. */
    void read(Collection<UnusableEntry> entries) {
        current = entries.size();
        EntryReports.Changes changes = reports.update(entries);
        changes.appeared().forEach(this::report);
        changes.mended()
                .forEach(name -> LOG.info(
                        "unusable entry {} was removed or is valid again", name, LogEvent.ENTRY_MENDED.field()));
        if (changes.limitExceeded()) {
            LOG.warn(
                    "{} entries of the endpoint list are unusable; only {} are reported one by one",
                    entries.size(),
                    EntryReports.MAX_REPORTED_ENTRIES,
                    LogEvent.LOG_SUPPRESSED.field());
        }
    }

    private void report(UnusableEntry entry) {
        Counter.builder("radishpass.entries.unusable")
                .description("entries of the list of endpoints that became unusable, by fault")
                .tag("fault", entry.fault().label())
                .register(metrics)
                .increment();
        LOG.warn(
                "ignoring entry {} of the endpoint list: {}: {}",
                entry.name(),
                entry.fault().meaning(),
                entry.detail(),
                LogEvent.ENTRY_UNUSABLE.field(),
                kv("fault", entry.fault().label()));
    }
}
