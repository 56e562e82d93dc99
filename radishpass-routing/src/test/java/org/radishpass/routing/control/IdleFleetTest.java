package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that routers of an idle fleet neither drop nor reopen links.
 *
 * <p>Guards against two members of a group that suspect each other every 1.65 s in an idle fleet of 18 routers. One of
 * them had reported its work to the other before it knew the gatherer. The other one then treated the first as a
 * member, reported all work to it, and waited in vain for a reply. As probes they reported their own work to each
 * other, and so became members again.
 */
final class IdleFleetTest {
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final Duration OBSERVED = Duration.ofSeconds(8);
    private static final double MEGABITS = 20;

    @ParameterizedTest
    @CsvSource({"18, 6, 65", "95, 6, 65", "370, 9, 300"})
    void anIdleFleetNeitherDropsNorDialsLinks(int routers, int dataCentres, int endpoints) {
        VirtualFleet fleet = new VirtualFleet(routers, dataCentres, endpoints, MEGABITS);
        fleet.publish(1, 20_000);
        fleet.startAll();
        fleet.advance(WARM_UP);
        int droppedBefore = dropped(fleet);
        int dialledBefore = dialled(fleet);

        fleet.advance(OBSERVED);

        assertThat(dropped(fleet) - droppedBefore).isEqualTo(0);
        assertThat(dialled(fleet) - dialledBefore).isEqualTo(0);
    }

    private static int dropped(VirtualFleet fleet) {
        return fleet.routers().stream().mapToInt(VirtualRouter::droppedLinks).sum();
    }

    private static int dialled(VirtualFleet fleet) {
        return fleet.routers().stream().mapToInt(VirtualRouter::dialledLinks).sum();
    }
}
