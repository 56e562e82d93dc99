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
 * Checks, in virtual time, what a fleet does after the store was restored from a snapshot: what it acknowledged in the last seconds is gone, and
 * its revisions are given out again.
 */
final class StoreRestoreTest {
    private static final Duration TO_MEET = Duration.ofSeconds(12);
    private static final Duration LOST = Duration.ofSeconds(5);
    private static final Duration AWAY = Duration.ofSeconds(2);

    /** After this without a disturbance promises with a time hold again. */
    private static final Duration STABLE = Duration.ofSeconds(3);

    /** After this an endpoint that leaves gets nothing new. */
    private static final Duration DRAIN = Duration.ofSeconds(2);

    /** After this a configuration is in force everywhere. */
    private static final Duration IN_FORCE = Duration.ofSeconds(2);

    /** Revisions that are lost: more than the fleet of these tests uses up until the end. */
    private static final int LOST_REVISIONS = 1_000;

    /** Routers of a fleet that is so small that each waits for configurations at the store itself. */
    private static final int ALL_WAIT_FOR_CONFIGURATIONS = 3;

    private static final Duration ALL_HAD_THEIR_TURN = Duration.ofSeconds(4);

    /** Calls a second that the store takes of all routers together, less than its limit for writes alone. */
    private static final int MOST_CALLS = 400;

    /** Calls a second of a fleet of any size while nothing happens: readings of the list, and waits that begin anew. */
    private static final int CALM_CALLS = 10;

    private static final double POOR_MEGABITS = 14;
    private static final int LARGE_BYTES = 500_000;
    private static final DataCentre EVACUATED = new DataCentre("dc-0");
    private static final RequestFingerprint ENDS_ENDPOINTS = new RequestFingerprint(1, 2, 3);
    private static final RequestFingerprint CLEARED = new RequestFingerprint(1, 2, 4);
    private static final String REMOVED = "endpoint-1";
    private static final String DRAINING = "endpoint-2";

    /**
     * Guards against a list that stays at what was read before the restore until the store's revision has caught up, and against a storm of
     * calls, as that of routers that read the whole configuration by turns with 410.
     */
    @ParameterizedTest
    @ValueSource(ints = {9, 63, 370})
    void endpointsThatLeaveAfterARestoreGetNothingNew(int count) {
        VirtualFleet fleet = started(count);
        loseAndRestore(fleet);
        List<Integer> calls = callsEachSecond(fleet, STABLE);
        leave(fleet);
        calls.addAll(callsEachSecond(fleet, DRAIN));
        assertThat(senders(fleet, REMOVED)).isEqualTo(0);
        assertThat(senders(fleet, DRAINING)).isEqualTo(0);

        calls.addAll(callsEachSecond(fleet, ALL_HAD_THEIR_TURN));
        assertThat(Collections.max(calls)).isAtMost(MOST_CALLS);
        assertThat(calls.get(calls.size() - 1)).isAtMost(CALM_CALLS);
    }

    /** Guards against changes that are asked for from a revision on that has another meaning by now. */
    @Test
    void aConfigurationAtARevisionThatWasGivenOutBeforeComesIntoForce() {
        VirtualFleet fleet = started(ALL_WAIT_FOR_CONFIGURATIONS);
        VirtualStore.Snapshot snapshot = lose(fleet);
        fleet.store().restore(snapshot);
        fleet.publish(2, 2_000);
        fleet.publish(3, 2_000);
        fleet.store().writeOther(2 * LOST_REVISIONS);
        fleet.store().down(false);
        fleet.pass(IN_FORCE);
        assertThat(versions(fleet)).containsExactly(3L);
    }

    /** Guards against routers that others do not find, since the snapshot is from before their registration. */
    @ParameterizedTest
    @ValueSource(ints = {9, 63})
    void registrationsThatASnapshotLacksAreMadeAgain(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.startAll();
        fleet.pass(TO_MEET);
        fleet.store().restore(snapshot);
        assertThat(registered(fleet)).isEqualTo(0);
        fleet.pass(STABLE);
        assertThat(registered(fleet)).isEqualTo(count);
    }

    /** Guards against a request that ends more endpoints after a loss of power, since the snapshot is from before it was kept. */
    @Test
    void aRequestThatIsKeptFromEndpointsIsWrittenAgainAndOneThatWasClearedIsNot() {
        VirtualFleet fleet = started(9);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        VirtualRouter first = fleet.routers().iterator().next();
        for (int end = 1; end <= 3; end++) {
            first.suspects().endedUnder(ENDS_ENDPOINTS, end);
            first.suspects().endedUnder(CLEARED, 10 + end);
            fleet.pass(Duration.ofMillis(500));
        }
        assertThat(fleet.store().keeps(CLEARED)).isTrue();
        VirtualStore.Snapshot withBoth = fleet.store().snapshot();
        List.copyOf(fleet.routers()).get(4).suspects().answered(CLEARED);
        fleet.pass(STABLE);
        assertThat(fleet.store().keeps(CLEARED)).isFalse();

        fleet.store().restore(snapshot);
        fleet.pass(STABLE);
        assertThat(fleet.store().keeps(ENDS_ENDPOINTS)).isTrue();
        assertThat(fleet.store().keeps(CLEARED)).isFalse();

        fleet.store().restore(withBoth);
        fleet.pass(STABLE);
        assertThat(fleet.store().keeps(ENDS_ENDPOINTS)).isTrue();
        assertThat(fleet.store().keeps(CLEARED)).isFalse();
    }

    /** Guards against a configuration that goes back at a router which starts while the store has only an earlier one. */
    @Test
    void aRouterThatStartsWhileTheStoreHasAnEarlierConfigurationTakesTheOneInForce() {
        VirtualFleet fleet = started(2);
        loseAndRestore(fleet);
        fleet.restart(1);
        fleet.pass(IN_FORCE);
        assertThat(versions(fleet)).containsExactly(2L);
    }

    @Test
    void aDrainThatASnapshotLacksHoldsUntilItIsWrittenAgain() {
        VirtualFleet fleet = started(9);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.store().drain(EVACUATED, true);
        fleet.pass(IN_FORCE);
        fleet.store().restore(snapshot);
        for (int moment = 0; moment < 4; moment++) {
            fleet.pass(Duration.ofMillis(500));
            assertThat(drained(fleet)).containsExactly(Set.of(EVACUATED));
        }
        fleet.store().drain(EVACUATED, true);
        fleet.pass(STABLE);
        assertThat(drained(fleet)).containsExactly(Set.of(EVACUATED));
        fleet.store().drain(EVACUATED, false);
        fleet.pass(IN_FORCE);
        assertThat(drained(fleet)).containsExactly(Set.of());
    }

    @Test
    void aDrainThatIsNotWrittenAgainEnds() {
        VirtualFleet fleet = started(9);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.store().drain(EVACUATED, true);
        fleet.pass(IN_FORCE);
        fleet.store().restore(snapshot);
        fleet.pass(STABLE.plus(IN_FORCE));
        assertThat(drained(fleet)).containsExactly(Set.of());
    }

    /** Several restores within seconds, a cut of the reader's link and a restart of a router among them. */
    @Test
    void endpointsThatLeaveAfterSeveralRestoresGetNothingNew() {
        VirtualFleet fleet = started(9);
        String reader = fleet.routers().iterator().next().self().id();
        VirtualStore.Snapshot snapshot = lose(fleet);
        fleet.store().restore(snapshot);
        fleet.store().down(false);
        fleet.pass(Duration.ofMillis(700));
        fleet.network().cut(reader, true);
        fleet.store().restore(snapshot);
        fleet.pass(Duration.ofMillis(400));
        fleet.restart(4);
        fleet.store().restore(snapshot);
        fleet.pass(Duration.ofMillis(900));
        fleet.network().cut(reader, false);
        fleet.pass(STABLE);
        leave(fleet);
        fleet.publish(3, 2_000);
        fleet.pass(DRAIN);
        assertThat(senders(fleet, REMOVED)).isEqualTo(0);
        assertThat(senders(fleet, DRAINING)).isEqualTo(0);
        assertThat(versions(fleet)).containsExactly(3L);
    }

    @Test
    void aLargeConfigurationThatIsPublishedAfterARestoreComesIntoForceOnPoorLinks() {
        VirtualFleet fleet = new VirtualFleet(9, 3, 20, POOR_MEGABITS);
        fleet.publish(1, LARGE_BYTES);
        fleet.startAll();
        fleet.pass(TO_MEET);
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.store().writeOther(LOST_REVISIONS);
        fleet.pass(LOST);
        fleet.store().restore(snapshot);
        fleet.pass(STABLE);
        fleet.publish(2, LARGE_BYTES);
        fleet.pass(IN_FORCE);
        assertThat(versions(fleet)).containsExactly(2L);
    }

    private static long registered(VirtualFleet fleet) {
        return fleet.routers().stream()
                .filter(router -> fleet.store().registered(router.self().id()))
                .count();
    }

    private static List<Set<DataCentre>> drained(VirtualFleet fleet) {
        return fleet.routers().stream().map(VirtualRouter::drained).distinct().toList();
    }

    private static List<Integer> callsEachSecond(VirtualFleet fleet, Duration time) {
        List<Integer> calls = new ArrayList<>();
        for (int second = 0; second < time.toSeconds(); second++) {
            int before = fleet.store().calls();
            fleet.pass(Duration.ofSeconds(1));
            calls.add(fleet.store().calls() - before);
        }
        return calls;
    }

    private static VirtualFleet started(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.pass(TO_MEET);
        assertThat(senders(fleet, REMOVED)).isEqualTo(count);
        assertThat(senders(fleet, DRAINING)).isEqualTo(count);
        return fleet;
    }

    private static void loseAndRestore(VirtualFleet fleet) {
        VirtualStore.Snapshot snapshot = lose(fleet);
        fleet.store().restore(snapshot);
        fleet.store().down(false);
    }

    /** Lets the store write what it will lose, version 2 of the configuration among it, and takes it away. */
    private static VirtualStore.Snapshot lose(VirtualFleet fleet) {
        VirtualStore.Snapshot snapshot = fleet.store().snapshot();
        fleet.store().writeOther(LOST_REVISIONS);
        fleet.publish(2, 2_000);
        fleet.pass(LOST);
        assertThat(versions(fleet)).containsExactly(2L);
        fleet.store().down(true);
        fleet.pass(AWAY);
        return snapshot;
    }

    private static void leave(VirtualFleet fleet) {
        List<ServiceEndpoint> left = fleet.store().endpoints().stream()
                .filter(endpoint -> !endpoint.id().equals(REMOVED))
                .map(endpoint -> endpoint.id().equals(DRAINING) ? endpoint.asLeaving() : endpoint)
                .toList();
        fleet.store().list(left);
    }

    private static List<Long> versions(VirtualFleet fleet) {
        return fleet.routers().stream().map(VirtualRouter::version).distinct().toList();
    }

    private static long senders(VirtualFleet fleet, String endpoint) {
        return fleet.routers().stream()
                .filter(router -> router.sendsTo(endpoint))
                .count();
    }
}
