package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that an endpoint incarnation that stated in a response that it is leaving receives no further requests from
 * any router.
 */
final class LeavingStatedInResponseTest {
    private static final long READ_INTERVAL_MILLIS = 900;
    private static final Duration DISCOVERY_TIME = Duration.ofSeconds(12);

    /** Well below the time after which a router must send nothing more to a leaving endpoint. */
    private static final Duration SPREAD_TIME = Duration.ofMillis(500);

    private static final Duration RESTART_TIME = Duration.ofSeconds(2);
    private static final String LEAVING_ENDPOINT = "endpoint-1";

    /** Guards against an older list, a peer or a read of the store that makes the endpoint available again. */
    @Property(seed = "20261203", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void incarnationThatStatedItIsLeavingNeverBecomesAvailableAgain(
            @ForAll @Size(max = 30) List<@IntRange(max = 8) Integer> steps) throws IOException {
        DirectoryFleet fleet = new DirectoryFleet();
        DirectoryFleet.Router first = fleet.router(1);
        DirectoryFleet.Router second = fleet.router(2);
        List<EndpointSnapshot> delayedLists = new ArrayList<>();
        fleet.registerIncarnation("a", 1_000);
        first.readStore();
        second.readStore();
        boolean[] knowsLeaving = {false, false};
        for (int step : steps) {
            fleet.advance(READ_INTERVAL_MILLIS);
            switch (step) {
                case 0 -> first.readStore();
                case 1 -> second.readStore();
                case 2 -> {
                    first.receiveLeavingResponse("a@1000");
                    knowsLeaving[0] = true;
                }
                case 3 -> {
                    second.receive(first.writeMessage());
                    first.receive(second.writeMessage());
                }
                case 4 -> delayedLists.add(second.decodedSnapshot());
                case 5 ->
                    delayedLists.forEach(list -> {
                        first.receiveList(list);
                        second.receiveList(list);
                    });
                case 6 -> fleet.advance(9_000);
                case 7 -> first.failToReadStore();
                default -> fleet.registerIncarnation("a", 2_000);
            }
            knowsLeaving[1] |= !second.sendsTo("a@1000") && knowsLeaving[0];
            assertThat(knowsLeaving[0] && first.sendsTo("a@1000")).isFalse();
            assertThat(knowsLeaving[1] && second.sendsTo("a@1000")).isFalse();
        }
    }

    @Test
    void newIncarnationOfTheSameNameIsUsed() {
        DirectoryFleet fleet = new DirectoryFleet();
        DirectoryFleet.Router router = fleet.router(1);
        fleet.registerIncarnation("a", 1_000);
        router.readStore();
        router.receiveLeavingResponse("a@1000");
        assertThat(router.servingIds()).isEmpty();
        fleet.registerIncarnation("a", 2_000);
        fleet.advance(READ_INTERVAL_MILLIS);
        router.readStore();
        assertThat(router.servingIds()).containsExactly("a@2000");
    }

    @Test
    void statementReceivedBeforeTheEndpointIsListedTakesEffect() {
        DirectoryFleet fleet = new DirectoryFleet();
        DirectoryFleet.Router router = fleet.router(1);
        router.receiveLeavingResponse("a");
        fleet.register("a");
        fleet.register("b");
        router.readStore();
        assertThat(router.servingIds()).containsExactly("b");
    }

    @Test
    void leavingEndpointIsAnnouncedUntilTheStoreConfirmsIt() {
        DirectoryFleet fleet = new DirectoryFleet();
        DirectoryFleet.Router router = fleet.router(1);
        fleet.register("a");
        router.readStore();
        router.receiveLeavingResponse("a");
        assertThat(router.writeMessage().state().leaving()).containsExactly("a");
        fleet.advance(READ_INTERVAL_MILLIS);
        router.readStore();
        assertThat(router.writeMessage().state().leaving()).containsExactly("a");
        fleet.markLeaving("a");
        fleet.advance(READ_INTERVAL_MILLIS);
        router.readStore();
        assertThat(router.writeMessage().state().leaving()).isEmpty();
    }

    @Test
    void manyLeavingEndpointsAreSpreadOverSeveralMessages() {
        LeavingIncarnations leavingIncarnations = new LeavingIncarnations();
        int total = 3 * LeavingIncarnations.MAX_IDS_PER_MESSAGE;
        for (int number = 0; number < total; number++) {
            leavingIncarnations.addStated("e" + number);
        }
        List<String> announced = new ArrayList<>();
        for (int message = 0; message < 3; message++) {
            List<String> part = leavingIncarnations.nextToAnnounce();
            assertThat(part).hasSize(LeavingIncarnations.MAX_IDS_PER_MESSAGE);
            announced.addAll(part);
        }
        assertThat(announced).containsNoDuplicates();
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 63, 370})
    void allRoutersStopSendingWhileTheStoreIsUnavailable(int count) {
        VirtualFleet fleet = startFleet(count);
        refuseAllRouters(fleet);
        List.copyOf(fleet.routers()).get(count - 1).answeredLeaving(LEAVING_ENDPOINT);
        fleet.advance(SPREAD_TIME);
        assertThat(countSendingRouters(fleet)).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 63})
    void restartedOrReconnectedRouterLearnsOfLeavingEndpointsFromAPeer(int count) {
        VirtualFleet fleet = startFleet(count);
        String disconnected = List.copyOf(fleet.routers()).get(2).self().id();
        fleet.network().setCutOff(disconnected, true);
        List.copyOf(fleet.routers()).get(1).answeredLeaving(LEAVING_ENDPOINT);
        fleet.advance(Duration.ofSeconds(6));
        assertThat(countSendingRouters(fleet)).isEqualTo(1);

        fleet.network().setCutOff(disconnected, false);
        fleet.restart(count - 1);
        fleet.advance(RESTART_TIME);
        assertThat(countSendingRouters(fleet)).isEqualTo(0);
    }

    private static VirtualFleet startFleet(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.advance(DISCOVERY_TIME);
        assertThat(countSendingRouters(fleet)).isEqualTo(count);
        return fleet;
    }

    private static void refuseAllRouters(VirtualFleet fleet) {
        fleet.store()
                .refuseRouters(fleet.routers().stream()
                        .map(router -> router.self().id())
                        .toList());
        fleet.advance(Duration.ofSeconds(3));
    }

    private static long countSendingRouters(VirtualFleet fleet) {
        return fleet.routers().stream()
                .filter(router -> router.sendsTo(LEAVING_ENDPOINT))
                .count();
    }
}
