package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Standing;

/** Checks, in virtual time, that all routers soon know of a request that ends its endpoints, also those that come later. */
final class SuspectSpreadTest {
    private static final RequestFingerprint POISON = new RequestFingerprint(1, 2, 3);
    private static final Duration TO_MEET = Duration.ofSeconds(12);

    /** After how long the request is sent to the next endpoint, and the 100 ms after which that ends. */
    private static final Duration COMES_AGAIN = Duration.ofMillis(120);

    /** A tenth of the time that a request may go on to reach endpoints after its third end. */
    private static final Duration TO_SPREAD = Duration.ofMillis(300);

    @ParameterizedTest
    @ValueSource(ints = {9, 60, 370})
    void endsSeenByRoutersOfDifferentDataCentresAreKnownToAll(int count) {
        VirtualFleet fleet = started(count);
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        routers.get(count - 1).suspects().endedUnder(POISON, 1);
        fleet.pass(TO_SPREAD);
        routers.get(count / 2).suspects().endedUnder(POISON, 2);
        fleet.pass(TO_SPREAD);
        assertThat(standings(fleet)).containsExactly(Standing.QUARANTINED);

        routers.get(0).suspects().answered(POISON);
        fleet.pass(TO_SPREAD);
        assertThat(standings(fleet)).containsExactly(Standing.CLEAR);
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 60})
    void aRouterThatStartsLaterLearnsItFromThoseItMeets(int count) {
        VirtualFleet fleet = started(count);
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        routers.get(1).suspects().endedUnder(POISON, 1);
        fleet.pass(COMES_AGAIN);
        routers.get(2).suspects().endedUnder(POISON, 2);
        fleet.pass(TO_SPREAD);

        fleet.restart(count - 1);
        fleet.pass(Duration.ofSeconds(2));
        assertThat(standings(fleet)).containsExactly(Standing.QUARANTINED);
    }

    /** After a loss of power of all routers none is left to ask but the store. */
    @Test
    void itIsStillKnownAfterAllRoutersHaveStartedAnew() {
        VirtualFleet fleet = started(9);
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        routers.get(1).suspects().endedUnder(POISON, 1);
        fleet.pass(COMES_AGAIN);
        routers.get(2).suspects().endedUnder(POISON, 2);
        fleet.pass(TO_SPREAD);
        fleet.restartAll();
        fleet.pass(TO_SPREAD);
        assertThat(standings(fleet)).containsExactly(Standing.QUARANTINED);

        List.copyOf(fleet.routers()).get(4).suspects().answered(POISON);
        fleet.pass(TO_SPREAD);
        fleet.restartAll();
        fleet.pass(TO_SPREAD);
        assertThat(standings(fleet)).containsExactly(Standing.CLEAR);
    }

    private static VirtualFleet started(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.pass(TO_MEET);
        return fleet;
    }

    private static List<Standing> standings(VirtualFleet fleet) {
        return fleet.routers().stream()
                .map(router -> router.suspects().standing(POISON))
                .distinct()
                .toList();
    }
}
