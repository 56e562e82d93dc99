package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.core.fleet.DataCentre;

/**
 * Checks in virtual time how soon all routers stop sending to a data centre that the operator drains, and that no
 * router returns to an outdated state. Deployments require 5 s; the tests require 1 s, the time that a configuration
 * change takes.
 */
final class DrainSpreadTest {
    private static final DataCentre FIRST = new DataCentre("dc-0");
    private static final DataCentre SECOND = new DataCentre("dc-1");
    private static final Duration DISCOVERY_TIME = Duration.ofSeconds(12);
    private static final Duration SPREAD_TIME = Duration.ofSeconds(1);
    private static final Duration SPREAD_TIME_WITH_FAULTS = Duration.ofSeconds(2);
    private static final Duration RESTART_TIME = Duration.ofSeconds(2);

    @ParameterizedTest
    @ValueSource(ints = {9, 63, 370})
    void drainsAndTheirEndsReachAllRoutersInTime(int count) {
        VirtualFleet fleet = startFleet(count);
        // After this time only a few routers poll the store; the others are informed by peers.
        fleet.advance(ConfigurationFollower.MAX_LONG_POLL_DURATION);

        fleet.store().drain(FIRST, true);
        fleet.advance(SPREAD_TIME);
        assertThat(drainedSets(fleet)).containsExactly(Set.of(FIRST));

        fleet.store().drain(SECOND, true);
        fleet.advance(SPREAD_TIME);
        assertThat(drainedSets(fleet)).containsExactly(Set.of(FIRST, SECOND));

        fleet.store().drain(FIRST, false);
        fleet.advance(SPREAD_TIME);
        assertThat(drainedSets(fleet)).containsExactly(Set.of(SECOND));
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 63})
    void routersThatTheStoreRefusesAreInformedByPeers(int count) {
        VirtualFleet fleet = startFleet(count);
        fleet.store()
                .refuseRouters(fleet.routers().stream()
                        .limit(count / 2)
                        .map(router -> router.self().id())
                        .toList());

        fleet.store().drain(FIRST, true);
        fleet.advance(SPREAD_TIME_WITH_FAULTS);
        assertThat(drainedSets(fleet)).containsExactly(Set.of(FIRST));
    }

    @Test
    void disconnectedRouterLearnsMissedDrainsAndEndsOnReconnect() {
        VirtualFleet fleet = startFleet(9);
        String disconnected = "10.1.0.2:7640";
        fleet.store().drain(FIRST, true);
        fleet.advance(SPREAD_TIME);
        fleet.network().setCutOff(disconnected, true);
        fleet.store().drain(FIRST, false);
        fleet.store().drain(SECOND, true);
        fleet.advance(Duration.ofSeconds(6));

        fleet.network().setCutOff(disconnected, false);
        fleet.advance(SPREAD_TIME_WITH_FAULTS);
        assertThat(drainedSets(fleet)).containsExactly(Set.of(SECOND));
    }

    /**
     * Guards against a drain that outlives a restart because the store no longer has the history with its end: a
     * complete read shows that the row is gone.
     */
    @Test
    void endOfADrainIsKnownAfterARestartWithoutHistory() {
        VirtualFleet fleet = startFleet(9);
        fleet.store().drain(FIRST, true);
        fleet.advance(SPREAD_TIME);
        fleet.store().drain(FIRST, false);
        fleet.store().forgetEndedDrains();
        fleet.restartAll();
        fleet.advance(RESTART_TIME);
        assertThat(drainedSets(fleet)).containsExactly(Set.of());
    }

    @Test
    void drainJustBeforeAPowerLossIsInForceAfterTheRestart() {
        VirtualFleet fleet = startFleet(9);
        fleet.store().drain(FIRST, true);
        fleet.advance(Duration.ofMillis(50));
        fleet.restartAll();
        fleet.advance(RESTART_TIME);
        assertThat(drainedSets(fleet)).containsExactly(Set.of(FIRST));
    }

    @Test
    void eachRouterDiscoversAllOthers() {
        VirtualFleet fleet = startFleet(63);
        fleet.routers().forEach(router -> assertThat(router.members().count()).isEqualTo(63));
    }

    private static VirtualFleet startFleet(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.advance(DISCOVERY_TIME);
        return fleet;
    }

    private static List<Set<DataCentre>> drainedSets(VirtualFleet fleet) {
        return fleet.routers().stream().map(VirtualRouter::drained).distinct().toList();
    }
}
