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
 * Checks, in virtual time, how soon all routers send nothing more to a data centre that the operator wants to empty, and that no router
 * goes back behind what it knew. Deployments ask for 5 s; a second is what a configuration takes.
 */
final class DrainSpreadTest {
    private static final DataCentre FIRST = new DataCentre("dc-0");
    private static final DataCentre SECOND = new DataCentre("dc-1");
    private static final Duration TO_MEET = Duration.ofSeconds(12);
    private static final Duration IN_FORCE = Duration.ofSeconds(1);
    private static final Duration WITH_STORE_TROUBLE = Duration.ofSeconds(2);
    private static final Duration ALL_STARTED = Duration.ofSeconds(2);

    @ParameterizedTest
    @ValueSource(ints = {9, 63, 370})
    void allRoutersKnowInTimeAndForgetInTime(int count) {
        VirtualFleet fleet = started(count);
        // by now only a few wait at the store, the others are told by peers
        fleet.pass(ConfigurationFollower.WAIT);

        fleet.store().drain(FIRST, true);
        fleet.pass(IN_FORCE);
        assertThat(beliefs(fleet)).containsExactly(Set.of(FIRST));

        fleet.store().drain(SECOND, true);
        fleet.pass(IN_FORCE);
        assertThat(beliefs(fleet)).containsExactly(Set.of(FIRST, SECOND));

        fleet.store().drain(FIRST, false);
        fleet.pass(IN_FORCE);
        assertThat(beliefs(fleet)).containsExactly(Set.of(SECOND));
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 63})
    void routersThatTheStoreDoesNotReachAreToldByOthers(int count) {
        VirtualFleet fleet = started(count);
        fleet.store()
                .refuse(fleet.routers().stream()
                        .limit(count / 2)
                        .map(router -> router.self().id())
                        .toList());

        fleet.store().drain(FIRST, true);
        fleet.pass(WITH_STORE_TROUBLE);
        assertThat(beliefs(fleet)).containsExactly(Set.of(FIRST));
    }

    @Test
    void aRouterThatWasCutOffLearnsWhatBeganAndEndedMeanwhile() {
        VirtualFleet fleet = started(9);
        String apart = "10.1.0.2:7640";
        fleet.store().drain(FIRST, true);
        fleet.pass(IN_FORCE);
        fleet.network().cut(apart, true);
        fleet.store().drain(FIRST, false);
        fleet.store().drain(SECOND, true);
        fleet.pass(Duration.ofSeconds(6));

        fleet.network().cut(apart, false);
        fleet.pass(WITH_STORE_TROUBLE);
        assertThat(beliefs(fleet)).containsExactly(Set.of(SECOND));
    }

    /** The store's history has gone when it returns: the table as a whole tells what is not there any more. */
    @Test
    void whatEndedUnseenIsKnownAfterAStart() {
        VirtualFleet fleet = started(9);
        fleet.store().drain(FIRST, true);
        fleet.pass(IN_FORCE);
        fleet.store().drain(FIRST, false);
        fleet.store().forgetDrains();
        fleet.restartAll();
        fleet.pass(ALL_STARTED);
        assertThat(beliefs(fleet)).containsExactly(Set.of());
    }

    @Test
    void aChangeJustBeforeALossOfPowerIsInForceAfterIt() {
        VirtualFleet fleet = started(9);
        fleet.store().drain(FIRST, true);
        fleet.pass(Duration.ofMillis(50));
        fleet.restartAll();
        fleet.pass(ALL_STARTED);
        assertThat(beliefs(fleet)).containsExactly(Set.of(FIRST));
    }

    @Test
    void eachRouterKnowsAllOthersByName() {
        VirtualFleet fleet = started(63);
        fleet.routers().forEach(router -> assertThat(router.members().count()).isEqualTo(63));
    }

    private static VirtualFleet started(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.pass(TO_MEET);
        return fleet;
    }

    private static List<Set<DataCentre>> beliefs(VirtualFleet fleet) {
        return fleet.routers().stream().map(VirtualRouter::drained).distinct().toList();
    }
}
