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
 * Reports entries of the endpoint list that do not describe a usable endpoint. An entry is reported once when it first
 * appears, when its fault changes, and when it is removed or valid again, instead of at each read. Confined to the
 * control thread.
 */
final class UnusableEntries {
    private static final Logger LOG = LoggerFactory.getLogger(UnusableEntries.class);

    /**
     * Maximum number of entries with a report of their own, so that a faulty writer cannot fill the log. Further
     * entries are not reported.
     */
    private static final int MAX_REPORTED_ENTRIES = 100;

    private final MeterRegistry metrics;
    private final Map<String, EntryFault> faults = new HashMap<>();

    UnusableEntries(MeterRegistry metrics) {
        this.metrics = metrics;
    }

    /** Applies the unusable entries of a read and reports the changes. */
    void read(Collection<EndpointEntry.Unusable> entries) {
        Map<String, EntryFault> faultsBefore = new HashMap<>(faults);
        faults.clear();
        for (EndpointEntry.Unusable entry : entries) {
            if (faults.size() < MAX_REPORTED_ENTRIES && entry.fault() != faultsBefore.remove(entry.name())) {
                report(entry);
            }
            faults.put(entry.name(), entry.fault());
        }
        faultsBefore.keySet().stream()
                .filter(name -> !faults.containsKey(name))
                .forEach(name -> LOG.info(
                        "unusable entry {} was removed or is valid again", name, LogEvent.ENTRY_MENDED.field()));
    }

    private void report(EndpointEntry.Unusable entry) {
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
