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

/** Checks that a start of an endpoint that has stated in an answer that it is leaving gets nothing again, at any router. */
final class LeavingByAnswerTest {
    private static final long PACE_MILLIS = 900;
    private static final Duration TO_MEET = Duration.ofSeconds(12);

    /** Well below the time after which a router must send nothing more to an endpoint that is leaving. */
    private static final Duration TO_SPREAD = Duration.ofMillis(500);

    private static final Duration AFTER_A_START = Duration.ofSeconds(2);
    private static final String LEAVING = "endpoint-1";

    /** Guards against an older list, a peer or a reading of the store that brings the endpoint back. */
    @Property(seed = "20261203", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void nothingBringsBackAStartThatStatedThatItIsLeaving(
            @ForAll @Size(max = 30) List<@IntRange(max = 8) Integer> steps) throws IOException {
        DirectoryFleet fleet = new DirectoryFleet();
        DirectoryFleet.Member first = fleet.router(1);
        DirectoryFleet.Member second = fleet.router(2);
        List<EndpointSnapshot> written = new ArrayList<>();
        fleet.start("a", 1_000);
        first.reads();
        second.reads();
        boolean[] knows = {false, false};
        for (int step : steps) {
            fleet.pass(PACE_MILLIS);
            switch (step) {
                case 0 -> first.reads();
                case 1 -> second.reads();
                case 2 -> {
                    first.answeredLeaving("a@1000");
                    knows[0] = true;
                }
                case 3 -> {
                    second.hears(first.tells());
                    first.hears(second.tells());
                }
                case 4 -> written.add(second.told());
                case 5 ->
                    written.forEach(list -> {
                        first.takes(list);
                        second.takes(list);
                    });
                case 6 -> fleet.pass(9_000);
                case 7 -> first.cannotRead();
                default -> fleet.start("a", 2_000);
            }
            knows[1] |= !second.sendsTo("a@1000") && knows[0];
            assertThat(knows[0] && first.sendsTo("a@1000")).isFalse();
            assertThat(knows[1] && second.sendsTo("a@1000")).isFalse();
        }
    }

    @Test
    void aNewStartUnderTheSameNameIsNotBound() {
        DirectoryFleet fleet = new DirectoryFleet();
        DirectoryFleet.Member router = fleet.router(1);
        fleet.start("a", 1_000);
        router.reads();
        router.answeredLeaving("a@1000");
        assertThat(router.serving()).isEmpty();
        fleet.start("a", 2_000);
        fleet.pass(PACE_MILLIS);
        router.reads();
        assertThat(router.serving()).containsExactly("a@2000");
    }

    @Test
    void aStatementThatComesBeforeTheListHoldsOnceItIsListed() {
        DirectoryFleet fleet = new DirectoryFleet();
        DirectoryFleet.Member router = fleet.router(1);
        router.answeredLeaving("a");
        fleet.register("a");
        fleet.register("b");
        router.reads();
        assertThat(router.serving()).containsExactly("b");
    }

    @Test
    void peersAreToldUntilTheStoreConfirmsIt() {
        DirectoryFleet fleet = new DirectoryFleet();
        DirectoryFleet.Member router = fleet.router(1);
        fleet.register("a");
        router.reads();
        router.answeredLeaving("a");
        assertThat(router.tells().state().leaving()).containsExactly("a");
        fleet.pass(PACE_MILLIS);
        router.reads();
        assertThat(router.tells().state().leaving()).containsExactly("a");
        fleet.leave("a");
        fleet.pass(PACE_MILLIS);
        router.reads();
        assertThat(router.tells().state().leaving()).isEmpty();
    }

    @Test
    void whereManyAreLeavingEachMessageTellsOfAPart() {
        LeavingStarts starts = new LeavingStarts();
        int many = 3 * LeavingStarts.MOST_TOLD;
        for (int number = 0; number < many; number++) {
            starts.stated("e" + number);
        }
        List<String> told = new ArrayList<>();
        for (int message = 0; message < 3; message++) {
            List<String> part = starts.toTell();
            assertThat(part).hasSize(LeavingStarts.MOST_TOLD);
            told.addAll(part);
        }
        assertThat(told).containsNoDuplicates();
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 63, 370})
    void allRoutersKnowSoonWhileTheStoreIsUnavailable(int count) {
        VirtualFleet fleet = started(count);
        storeRefusesAll(fleet);
        List.copyOf(fleet.routers()).get(count - 1).answeredLeaving(LEAVING);
        fleet.pass(TO_SPREAD);
        assertThat(senders(fleet)).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 63})
    void aRouterThatStartsOrComesBackFromACutLearnsItFromAPeer(int count) {
        VirtualFleet fleet = started(count);
        String apart = List.copyOf(fleet.routers()).get(2).self().id();
        fleet.network().cut(apart, true);
        List.copyOf(fleet.routers()).get(1).answeredLeaving(LEAVING);
        fleet.pass(Duration.ofSeconds(6));
        assertThat(senders(fleet)).isEqualTo(1);

        fleet.network().cut(apart, false);
        fleet.restart(count - 1);
        fleet.pass(AFTER_A_START);
        assertThat(senders(fleet)).isEqualTo(0);
    }

    private static VirtualFleet started(int count) {
        VirtualFleet fleet = new VirtualFleet(count, 3, 20, 1_000);
        fleet.publish(1, 2_000);
        fleet.startAll();
        fleet.pass(TO_MEET);
        assertThat(senders(fleet)).isEqualTo(count);
        return fleet;
    }

    private static void storeRefusesAll(VirtualFleet fleet) {
        fleet.store()
                .refuse(fleet.routers().stream()
                        .map(router -> router.self().id())
                        .toList());
        fleet.pass(Duration.ofSeconds(3));
    }

    private static long senders(VirtualFleet fleet) {
        return fleet.routers().stream()
                .filter(router -> router.sendsTo(LEAVING))
                .count();
    }
}
