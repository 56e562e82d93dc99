package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that an unusable entry is told of once for each fault, and not at each reading. */
final class UnusableEntriesTest {
    private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
    private final UnusableEntries entries = new UnusableEntries(metrics);

    @Test
    void eachFaultIsToldOnce() {
        for (int reading = 0; reading < 5; reading++) {
            entries.read(List.of(entry("a", EntryFault.SYNTAX), entry("b", EntryFault.TYPE)));
        }
        assertThat(told(EntryFault.SYNTAX)).isEqualTo(1);
        assertThat(told(EntryFault.TYPE)).isEqualTo(1);
        entries.read(List.of(entry("a", EntryFault.TYPE), entry("b", EntryFault.TYPE)));
        assertThat(told(EntryFault.TYPE)).isEqualTo(2);
    }

    @Test
    void anEntryThatBecomesUnusableAgainIsToldAgain() {
        entries.read(List.of(entry("a", EntryFault.SYNTAX)));
        entries.read(List.of());
        entries.read(List.of(entry("a", EntryFault.SYNTAX)));
        assertThat(told(EntryFault.SYNTAX)).isEqualTo(2);
    }

    @Test
    void aWriterGoneWildDoesNotFillTheLog() {
        List<EndpointEntry.Unusable> many = java.util.stream.IntStream.range(0, 5_000)
                .mapToObj(number -> entry("e" + number, EntryFault.VALUE))
                .toList();
        entries.read(many);
        entries.read(many);
        assertThat(told(EntryFault.VALUE)).isEqualTo(100);
    }

    private double told(EntryFault fault) {
        return metrics.get("radishpass.entries.unusable")
                .tag("fault", fault.label())
                .counter()
                .count();
    }

    private static EndpointEntry.Unusable entry(String name, EntryFault fault) {
        return new EndpointEntry.Unusable(name, fault, "detail");
    }
}
