package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that routers report a change of their work at once, and nothing but heartbeats while nothing changes.
 *
 * <p>Guards against gatherers that report all work to each member ten times a second, changed or not. It also guards against the reverse, a change that waits for the next heartbeat.
 */
final class ReportFreshnessTest {
    private static final Duration WARM_UP = Duration.ofSeconds(15);
    private static final Duration OBSERVED = Duration.ofSeconds(6);
    private static final double MEGABITS = 20;

    /** Three ticks of 100 ms, of the router, its gatherer and the gatherer of the other group, and time on the links. */
    private static final Duration MAX_AGE = Duration.ofMillis(330);

    private static final String ENDPOINT = "endpoint-0";

    @ParameterizedTest
    @CsvSource({"7, 3", "18, 6", "69, 5"})
    void allRoutersKnowOfANewRequestWithinAThirdOfASecond(int routers, int dataCentres) {
        VirtualFleet fleet = idleFleet(routers, dataCentres);
        List<VirtualRouter> all = new ArrayList<>(fleet.routers());

        all.get(routers - 1).startRequest(ENDPOINT);
        fleet.advance(MAX_AGE);

        for (VirtualRouter router : all) {
            assertThat(router.requestsInFlight(ENDPOINT)).isEqualTo(1);
        }
    }

    /** Heartbeats of 0.6 s and reports of each reading of the store, 1.1 a second, are at most 3 reports a second. */
    @ParameterizedTest
    @CsvSource({"69, 5", "134, 6"})
    void anIdleGathererSendsAtMostThreeReportsASecondToEachMember(int routers, int dataCentres) {
        VirtualFleet fleet = idleFleet(routers, dataCentres);
        // a report has an entry for the request in flight at each router, of 32 bytes, and some fixed components
        long reportBytes = 32L * routers + 200;
        int receivers = routers / dataCentres + dataCentres;
        List<Long> before = sentBytes(fleet);

        fleet.advance(OBSERVED);

        List<Long> after = sentBytes(fleet);
        for (int number = 0; number < routers; number++) {
            long bytesPerSecond = (after.get(number) - before.get(number)) / OBSERVED.toSeconds();
            assertThat(bytesPerSecond).isLessThan(3 * reportBytes * receivers);
        }
    }

    private static VirtualFleet idleFleet(int routers, int dataCentres) {
        VirtualFleet fleet = new VirtualFleet(routers, dataCentres, 45, MEGABITS);
        fleet.publish(1, 20_000);
        fleet.startAll();
        fleet.advance(WARM_UP);
        return fleet;
    }

    private static List<Long> sentBytes(VirtualFleet fleet) {
        return fleet.routers().stream()
                .map(router -> fleet.network().sentBytes(router.self().id()))
                .toList();
    }
}
