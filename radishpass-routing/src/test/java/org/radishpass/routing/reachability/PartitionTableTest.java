package org.radishpass.routing.reachability;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which partitions of other routers are known after reports that arrive late, in any order or not at all. */
final class PartitionTableTest {
    private final PartitionTable table = new PartitionTable();

    @Test
    void aRouterThatReportsAboutItselfWithoutAnEntryIsNoLongerPartitioned() {
        assertThat(table.record("a", List.of(partition("a", 100)), 100)).containsExactly("a");
        assertThat(table.unreached("a", "service", 100)).isTrue();

        assertThat(table.record("a", List.of(), 200)).containsExactly("a");
        assertThat(table.unreached("a", "service", 200)).isFalse();
    }

    /** Guards against a router that is back and counts as partitioned again by an older report of another router. */
    @Test
    void anEarlierObservationFromAnotherRouterDoesNotRestoreAnEndedPartition() {
        table.record("a", List.of(partition("a", 100)), 100);
        table.record("a", List.of(), 300);

        assertThat(table.record("b", List.of(partition("a", 250)), 400)).isEmpty();
        assertThat(table.unreached("a", "service", 400)).isFalse();

        table.record("b", List.of(partition("a", 350)), 500);
        assertThat(table.unreached("a", "service", 500)).isTrue();
    }

    @Test
    void entriesExpireByTheTimeOfTheObservation() {
        table.record("b", List.of(partition("a", 0)), PartitionTable.VALID_MILLIS - 1);
        assertThat(table.unreached("a", "service", PartitionTable.VALID_MILLIS)).isTrue();
        assertThat(table.unreached("a", "service", PartitionTable.VALID_MILLIS + 1))
                .isFalse();

        table.removeExpired(PartitionTable.VALID_MILLIS + 1);
        assertThat(table.size()).isEqualTo(0);
    }

    @Test
    void reportsAreBoundedAndHoldTheLatestEntries() {
        List<RouterPartition> many = IntStream.range(0, PartitionTable.MAX_REPORTED + 5)
                .mapToObj(number -> partition("r" + number, number))
                .toList();
        table.record("gatherer", many, 100);

        List<RouterPartition> reported = table.toReport(100);
        assertThat(reported).hasSize(PartitionTable.MAX_REPORTED);
        assertThat(reported.get(0).observedAtMillis()).isEqualTo(PartitionTable.MAX_REPORTED + 4);
        assertThat(reported.get(reported.size() - 1).observedAtMillis()).isEqualTo(5);
    }

    private static RouterPartition partition(String routerId, long observedAtMillis) {
        return new RouterPartition(routerId, List.of("service"), observedAtMillis);
    }
}
