package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that an unusable entry is reported once for each fault, and not at each read. */
final class UnusableEntriesTest {
    private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
    private final UnusableEntries entries = new UnusableEntries(metrics);

    @Test
    void eachFaultIsReportedOnce() {
        for (int repetition = 0; repetition < 5; repetition++) {
            entries.read(List.of(entry("a", EntryFault.SYNTAX), entry("b", EntryFault.TYPE)));
        }
        assertThat(reportedCount(EntryFault.SYNTAX)).isEqualTo(1);
        assertThat(reportedCount(EntryFault.TYPE)).isEqualTo(1);
        entries.read(List.of(entry("a", EntryFault.TYPE), entry("b", EntryFault.TYPE)));
        assertThat(reportedCount(EntryFault.TYPE)).isEqualTo(2);
    }

    @Test
    void entryThatBecomesUnusableAgainIsReportedAgain() {
        entries.read(List.of(entry("a", EntryFault.SYNTAX)));
        entries.read(List.of());
        entries.read(List.of(entry("a", EntryFault.SYNTAX)));
        assertThat(reportedCount(EntryFault.SYNTAX)).isEqualTo(2);
    }

    @Test
    void reportsAreLimitedWhenManyEntriesAreUnusable() {
        List<UnusableEntry> manyEntries = java.util.stream.IntStream.range(0, 5_000)
                .mapToObj(number -> entry("e" + number, EntryFault.VALUE))
                .toList();
        entries.read(manyEntries);
        entries.read(manyEntries);
        assertThat(reportedCount(EntryFault.VALUE)).isEqualTo(100);
    }

    /** Guards against a line at each read for entries beyond the limit, which had never been reported. */
    @Test
    void entriesBeyondTheLimitAreNeitherReportedNorReportedAsMended() {
        EntryReports reports = new EntryReports();
        List<UnusableEntry> manyEntries = java.util.stream.IntStream.range(0, 5_000)
                .mapToObj(number -> entry("e" + number, EntryFault.VALUE))
                .toList();
        assertThat(reports.update(manyEntries).limitExceeded()).isTrue();
        EntryReports.Changes again = reports.update(manyEntries);
        assertThat(again).isEqualTo(new EntryReports.Changes(List.of(), List.of(), false));
        assertThat(reports.update(List.of()).mended()).hasSize(EntryReports.MAX_REPORTED_ENTRIES);
    }

    private double reportedCount(EntryFault fault) {
        return metrics.get("radishpass.entries.unusable")
                .tag("fault", fault.label())
                .counter()
                .count();
    }

    private static UnusableEntry entry(String name, EntryFault fault) {
        return new UnusableEntry(name, fault, "detail");
    }
}
