package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.radishpass.routing.event.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The entries that name no endpoint to use: says so once when one appears, when its fault changes and when it is gone or mended, and
 * not at each reading. Belongs to the control thread.
 */
final class UnusableEntries {
    private static final Logger LOG = LoggerFactory.getLogger(UnusableEntries.class);

    /** Entries that are told of apart: a writer gone wild must not fill the log. Others are only counted. */
    private static final int MOST_TOLD = 100;

    private final MeterRegistry metrics;
    private final Map<String, EntryFault> faults = new HashMap<>();

    UnusableEntries(MeterRegistry metrics) {
        this.metrics = metrics;
    }

    /** Takes the unusable entries of a reading. */
    void read(Collection<EndpointEntry.Unusable> entries) {
        Map<String, EntryFault> before = new HashMap<>(faults);
        faults.clear();
        for (EndpointEntry.Unusable entry : entries) {
            if (faults.size() < MOST_TOLD && entry.fault() != before.remove(entry.name())) {
                tell(entry);
            }
            faults.put(entry.name(), entry.fault());
        }
        before.keySet().stream()
                .filter(name -> !faults.containsKey(name))
                .forEach(name ->
                        LOG.info("entry {} is gone, or names an endpoint again", name, LogEvent.ENTRY_MENDED.field()));
    }

    private void tell(EndpointEntry.Unusable entry) {
        Counter.builder("radishpass.entries.unusable")
                .description("entries of the list of endpoints that became unusable, by fault")
                .tag("fault", entry.fault().label())
                .register(metrics)
                .increment();
        LOG.warn(
                "entry {} names no endpoint to use: {}: {}",
                entry.name(),
                entry.fault().meaning(),
                entry.detail(),
                LogEvent.ENTRY_UNUSABLE.field(),
                kv("fault", entry.fault().label()));
    }
}
