package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests in virtual time that routers without links to the endpoints find routers that have some. A first attempt is served
 * from one second after the cut began.
 */
final class PartitionDistributionTest {
    private static final Duration DETECTION = Duration.ofSeconds(1);
    private static final int REQUESTS = 20;

    /** Guards against requests that are relayed to routers without links, in fleets of all sizes. */
    @ParameterizedTest
    @CsvSource({"9, 1", "9, 5", "9, 8", "63, 6", "63, 32", "63, 62", "370, 40"})
    void fromOneSecondAfterTheCutEachRequestIsServedByARouterWithLinks(int routers, int cutRouters) {
        PartitionedFleet fleet = new PartitionedFleet(routers, cutRouters);
        fleet.advance(DETECTION);
        assertThat(fleet.shareServed(REQUESTS)).isEqualTo(1.0);
    }

    /** Guards against callers of the largest fleet who are refused although one router has links. */
    @Test
    void fromOneSecondAfterAllButOneOfTheLargestFleetAreCutEachRequestIsServed() {
        PartitionedFleet fleet = new PartitionedFleet(370, 369);
        fleet.advance(DETECTION);
        assertThat(fleet.shareServed(REQUESTS)).isEqualTo(1.0);
    }

    /** Guards against routers that take the relayed requests of all others. */
    @ParameterizedTest
    @CsvSource({"9, 4", "63, 30", "370, 185"})
    void relayedRequestsAreSpreadOverTheRoutersWithLinks(int routers, int cutRouters) {
        PartitionedFleet fleet = new PartitionedFleet(routers, cutRouters);
        fleet.advance(DETECTION);
        fleet.shareServed(REQUESTS);
        assertThat(fleet.loadOfBusiestOverMean()).isAtMost(3.0);
    }

    /** Guards against routers that count as partitioned after their links are back. */
    @ParameterizedTest
    @CsvSource({"9, 5", "63, 32"})
    void routersAreAskedAgainAfterTheirLinksAreBack(int routers, int cutRouters) {
        PartitionedFleet fleet = new PartitionedFleet(routers, cutRouters);
        fleet.advance(DETECTION);
        fleet.restoreLinks();
        fleet.advance(Duration.ofSeconds(3));
        assertThat(fleet.routersWithoutPartitions()).isEqualTo(routers);
    }
}
