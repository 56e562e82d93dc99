package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.quarantine.RequestFingerprint;

/**
 * Checks in virtual time how a fleet reacts when the store is restored from a snapshot. The changes that the store
 * acknowledged in the last seconds are lost, and their revisions are assigned again.
 */
final class StoreRestoreTest {
    private static final Duration DISCOVERY_TIME = Duration.ofSeconds(12);
    private static final Duration LOST_PERIOD = Duration.ofSeconds(5);
    private static final Duration STORE_DOWNTIME = Duration.ofSeconds(2);

    /** Time without a disturbance after which the guaranteed time bounds hold again. */
    private static final Duration STABLE_PERIOD = Duration.ofSeconds(3);

    /** Time after which a leaving endpoint must receive nothing new. */
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(2);

    /** Time after which a configuration must be in force at all routers. */
    private static final Duration CONFIGURATION_BOUND = Duration.ofSeconds(2);

    /** Number of lost revisions, more than the fleet uses until the end of any of these tests. */
    private static final int LOST_REVISIONS = 1_000;

    /** Number of routers in a fleet that is so small that each router polls the store for configurations itself. */
    private static final int CONFIGURATION_READERS = 3;

    /** Time after which each router has had its turn to read the restored store. */
    private static final Duration TIME_FOR_ALL_TURNS = Duration.ofSeconds(4);

    /**
     * Maximum calls per second that the store accepts from all routers together, less than its limit for writes alone.
     */
    private static final int MAX_CALLS_PER_SECOND = 400;

    /** Maximum calls per second of an idle fleet of any size: reads of the endpoint list, and renewed long polls. */
    private static final int MAX_IDLE_CALLS_PER_SECOND = 10;

    private static final double SLOW_LINK_MEGABITS = 14;
    private static final int LARGE_BYTES = 500_000;
    private static final DataCentre DRAINED_DATA_CENTRE = new DataCentre("dc-0");
    private static final RequestFingerprint CRASHING_REQUEST = new RequestFingerprint(1, 2, 3);
    private static final RequestFingerprint CLEARED_REQUEST = new RequestFingerprint(1, 2, 4);
    private static final String REMOVED_ENDPOINT = "endpoint-1";
    private static final String LEAVING_ENDPOINT = "endpoint-2";

    /**
     * Guards against a list that stays at its state from before the restore until the store's revisions have caught up.
     * Also guards against bursts of calls, such as routers that alternately read the whole configuration and receive
     * status 410.
     */
    @ParameterizedTest
    @ValueSource(ints = {9, 63, 370})
    void endpointsThatLeaveAfterARestoreReceiveNothingNew(int count) {
        VirtualFleet fleet = startFleet(count);
        loseChangesAndRestore(fleet);
        List<Integer> calls = callsEachSecond(fleet, STABLE_PERIOD);
        removeAndMarkLeaving(fleet);
        calls.addAll(callsEachSecond(fleet, LEAVING_BOUND));
        assertThat(countSendingRouters(fleet, REMOVED_ENDPOINT)).isEqualTo(0);
        assertThat(countSendingRouters(fleet, LEAVING_ENDPOINT)).isEqualTo(0);

        calls.addAll(callsEachSecond(fleet, TIME_FOR_ALL_TURNS));
        assertThat(Collections.max(calls)).isAtMost(MAX_CALLS_PER_SECOND);
        assertThat(calls.get(calls.size() - 1)).isAtMost(MAX_IDLE_CALLS_PER_SECOND);
    }

    /** Guards against requests for changes since a revision that has another meaning after a restore. */
    @Test
    void configurationAtAReassignedRevisionIsPutInForce() {
        VirtualFleet fleet = startFleet(CONFIGURATION_READERS);
        VirtualStore.Snapshot snapshot = writeLostChangesAndStopStore(fleet);
        fleet.store().restore(snapshot);
        fleet.publish(2, 2_000);
        fleet.publish(3, 2_000);
        fleet.store().writeUnrelatedRows(2 * LOST_REVISIONS);
        fleet.store().setDown(false);
        fleet.advance(CONFIGURATION_BOUND);
        assertThat(versions(fleet)).containsExactly(3L);
    }

    /** Guards against routers that others cannot discover because the snapshot was taken before they registered. */
    @ParameterizedTest
    @ValueSource(ints = {9, 63})
    void registrationsThatASnapshotLacksAreWrittenAgain(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.startAll();
        fleet.advance(DISCOVERY_TIME);
        fleet.store().restore(snapshot);
        assertThat(countRegistered(fleet)).isEqualTo(0);
        fleet.advance(STABLE_PERIOD);
        assertThat(countRegistered(fleet)).isEqualTo(count);
    }

    /**
     * Guards against a request that crashes further endpoints after a power loss because the snapshot was taken before
     * its quarantine.
     */
    @Test
    void quarantinedRequestIsWrittenAgainAndAClearedOneIsNot() {
        VirtualFleet fleet = startFleet(9);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        VirtualRouter first = fleet.routers().iterator().next();
        for (int crash = 1; crash <= 3; crash++) {
            first.suspects().endedUnder(CRASHING_REQUEST, crash);
            first.suspects().endedUnder(CLEARED_REQUEST, 10 + crash);
            fleet.advance(Duration.ofMillis(500));
        }
        assertThat(fleet.store().quarantines(CLEARED_REQUEST)).isTrue();
        VirtualStore.Snapshot snapshotWithBoth = fleet.store().snapshot();
        List.copyOf(fleet.routers()).get(4).suspects().answered(CLEARED_REQUEST);
        fleet.advance(STABLE_PERIOD);
        assertThat(fleet.store().quarantines(CLEARED_REQUEST)).isFalse();

        fleet.store().restore(snapshot);
        fleet.advance(STABLE_PERIOD);
        assertThat(fleet.store().quarantines(CRASHING_REQUEST)).isTrue();
        assertThat(fleet.store().quarantines(CLEARED_REQUEST)).isFalse();

        fleet.store().restore(snapshotWithBoth);
        fleet.advance(STABLE_PERIOD);
        assertThat(fleet.store().quarantines(CRASHING_REQUEST)).isTrue();
        assertThat(fleet.store().quarantines(CLEARED_REQUEST)).isFalse();
    }

    /**
     * Guards against a router that starts with an outdated configuration because the restored store contains only that
     * one.
     */
    @Test
    void routerStartedWithAnOutdatedStoreUsesTheConfigurationInForce() {
        VirtualFleet fleet = startFleet(2);
        loseChangesAndRestore(fleet);
        fleet.restart(1);
        fleet.advance(CONFIGURATION_BOUND);
        assertThat(versions(fleet)).containsExactly(2L);
    }

    @Test
    void drainThatASnapshotLacksHoldsUntilItIsWrittenAgain() {
        VirtualFleet fleet = startFleet(9);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.store().drain(DRAINED_DATA_CENTRE, true);
        fleet.advance(CONFIGURATION_BOUND);
        fleet.store().restore(snapshot);
        for (int check = 0; check < 4; check++) {
            fleet.advance(Duration.ofMillis(500));
            assertThat(drainedSets(fleet)).containsExactly(Set.of(DRAINED_DATA_CENTRE));
        }
        fleet.store().drain(DRAINED_DATA_CENTRE, true);
        fleet.advance(STABLE_PERIOD);
        assertThat(drainedSets(fleet)).containsExactly(Set.of(DRAINED_DATA_CENTRE));
        fleet.store().drain(DRAINED_DATA_CENTRE, false);
        fleet.advance(CONFIGURATION_BOUND);
        assertThat(drainedSets(fleet)).containsExactly(Set.of());
    }

    @Test
    void drainThatIsNotWrittenAgainEnds() {
        VirtualFleet fleet = startFleet(9);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.store().drain(DRAINED_DATA_CENTRE, true);
        fleet.advance(CONFIGURATION_BOUND);
        fleet.store().restore(snapshot);
        fleet.advance(STABLE_PERIOD.plus(CONFIGURATION_BOUND));
        assertThat(drainedSets(fleet)).containsExactly(Set.of());
    }

    /** Covers several restores within seconds, combined with a disconnected reader and a router restart. */
    @Test
    void endpointsThatLeaveAfterSeveralRestoresReceiveNothingNew() {
        VirtualFleet fleet = startFleet(9);
        String reader = fleet.routers().iterator().next().self().id();
        VirtualStore.Snapshot snapshot = writeLostChangesAndStopStore(fleet);
        fleet.store().restore(snapshot);
        fleet.store().setDown(false);
        fleet.advance(Duration.ofMillis(700));
        fleet.network().setCutOff(reader, true);
        fleet.store().restore(snapshot);
        fleet.advance(Duration.ofMillis(400));
        fleet.restart(4);
        fleet.store().restore(snapshot);
        fleet.advance(Duration.ofMillis(900));
        fleet.network().setCutOff(reader, false);
        fleet.advance(STABLE_PERIOD);
        removeAndMarkLeaving(fleet);
        fleet.publish(3, 2_000);
        fleet.advance(LEAVING_BOUND);
        assertThat(countSendingRouters(fleet, REMOVED_ENDPOINT)).isEqualTo(0);
        assertThat(countSendingRouters(fleet, LEAVING_ENDPOINT)).isEqualTo(0);
        assertThat(versions(fleet)).containsExactly(3L);
    }

    @Test
    void largeConfigurationPublishedAfterARestoreIsPutInForceOnSlowLinks() {
        VirtualFleet fleet = new VirtualFleet(9, 3, 20, SLOW_LINK_MEGABITS);
        fleet.publish(1, LARGE_BYTES);
        fleet.startAll();
        fleet.advance(DISCOVERY_TIME);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.store().writeUnrelatedRows(LOST_REVISIONS);
        fleet.advance(LOST_PERIOD);
        fleet.store().restore(snapshot);
        fleet.advance(STABLE_PERIOD);
        fleet.publish(2, LARGE_BYTES);
        fleet.advance(CONFIGURATION_BOUND);
        assertThat(versions(fleet)).containsExactly(2L);
    }

    private static long countRegistered(VirtualFleet fleet) {
        return fleet.routers().stream()
                .filter(router -> fleet.store().registered(router.self().id()))
                .count();
    }

    private static List<Set<DataCentre>> drainedSets(VirtualFleet fleet) {
        return fleet.routers().stream().map(VirtualRouter::drained).distinct().toList();
    }

    private static List<Integer> callsEachSecond(VirtualFleet fleet, Duration time) {
        List<Integer> calls = new ArrayList<>();
        for (int second = 0; second < time.toSeconds(); second++) {
            int before = fleet.store().calls();
            fleet.advance(Duration.ofSeconds(1));
            calls.add(fleet.store().calls() - before);
        }
        return calls;
    }

    private static VirtualFleet startFleet(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.advance(DISCOVERY_TIME);
        assertThat(countSendingRouters(fleet, REMOVED_ENDPOINT)).isEqualTo(count);
        assertThat(countSendingRouters(fleet, LEAVING_ENDPOINT)).isEqualTo(count);
        return fleet;
    }

    private static void loseChangesAndRestore(VirtualFleet fleet) {
        VirtualStore.Snapshot snapshot = writeLostChangesAndStopStore(fleet);
        fleet.store().restore(snapshot);
        fleet.store().setDown(false);
    }

    /**
     * Takes a snapshot, lets the store write changes that a restore loses, including version 2 of the configuration,
     * and stops the store.
     */
    private static VirtualStore.Snapshot writeLostChangesAndStopStore(VirtualFleet fleet) {
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.store().writeUnrelatedRows(LOST_REVISIONS);
        fleet.publish(2, 2_000);
        fleet.advance(LOST_PERIOD);
        assertThat(versions(fleet)).containsExactly(2L);
        fleet.store().setDown(true);
        fleet.advance(STORE_DOWNTIME);
        return snapshot;
    }

    private static void removeAndMarkLeaving(VirtualFleet fleet) {
        List<ServiceEndpoint> remaining = fleet.store().endpoints().stream()
                .filter(endpoint -> !endpoint.id().equals(REMOVED_ENDPOINT))
                .map(endpoint -> endpoint.id().equals(LEAVING_ENDPOINT) ? endpoint.asLeaving() : endpoint)
                .toList();
        fleet.store().listEndpoints(remaining);
    }

    private static List<Long> versions(VirtualFleet fleet) {
        return fleet.routers().stream().map(VirtualRouter::version).distinct().toList();
    }

    private static long countSendingRouters(VirtualFleet fleet, String endpoint) {
        return fleet.routers().stream()
                .filter(router -> router.sendsTo(endpoint))
                .count();
    }
}
