package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.Incarnation;
import org.radishpass.routing.fleet.ServiceEndpoint;

/** Checks that a start of an endpoint ends what was believed of the one before it, and is never displaced by what is late. */
final class EndpointStartsTest {
    private static final long PACE_MILLIS = 850;

    private final DirectoryFleet fleet = new DirectoryFleet();
    private final DirectoryFleet.Member first = fleet.router(1);
    private final DirectoryFleet.Member second = fleet.router(2);

    @BeforeEach
    void readForAWhile() {
        fleet.start("a", 1_000);
        for (int reading = 0; reading < 4; reading++) {
            fleet.pass(PACE_MILLIS);
            first.reads();
            second.reads();
        }
    }

    @Test
    void anEndpointThatLeavesServesOnceItHasStartedAgain() {
        fleet.leave("a");
        reads(first);
        assertThat(first.serving()).isEmpty();
        fleet.start("a", 2_000);
        reads(first);
        assertThat(first.serving()).containsExactly("a@2000");
    }

    @Test
    void aStartThatLeavesStaysLeavingAlthoughItsEntrySaysOtherwise() {
        fleet.leave("a");
        reads(first);
        fleet.start("a", 1_000);
        reads(first);
        assertThat(first.serving()).isEmpty();
    }

    @Test
    void oneThatStartedAgainWhileTheStoreWasAwayIsTheLaterOnly() {
        fleet.remove("a");
        first.cannotRead();
        fleet.pass(9_000);
        reads(first);
        assertThat(first.serving()).containsExactly("a@1000");
        fleet.start("a", 2_000);
        reads(first);
        assertThat(first.serving()).containsExactly("a@2000");
    }

    @Test
    void twoStartsBetweenTwoReadingsAreTheLaterOne() {
        fleet.start("a", 2_000);
        fleet.start("a", 3_000);
        reads(first);
        assertThat(first.serving()).containsExactly("a@3000");
    }

    @Test
    void aStartMayHaveAnotherAddressServiceAndDataCentre() throws IOException {
        ServiceEndpoint moved = new ServiceEndpoint(
                        "a", "plans", new Address("10.9.9.9", 81), new DataCentre("there"), 2, false)
                .startedAs(new Incarnation(2_000));
        fleet.register(moved);
        reads(first);
        assertThat(first.serving()).isEmpty();
        assertThat(first.told().endpoints()).containsExactly(moved);
    }

    @Test
    void aClockThatSteppedBackDoesNotMakeAStartTheEarlierOne() {
        fleet.start("a", 400);
        reads(first);
        assertThat(first.serving()).containsExactly("a@400");
    }

    @Test
    void aPeerWithAnOlderListDoesNotBringBackTheEarlierStart() throws IOException {
        EndpointSnapshot older = second.told();
        fleet.start("a", 2_000);
        reads(first);
        first.takes(older);
        assertThat(first.serving()).containsExactly("a@2000");
    }

    @Test
    void aPeerThatStillKeepsTheEarlierStartDoesNotBringItBack() throws IOException {
        fleet.start("a", 2_000);
        first.cannotRead();
        second.cannotRead();
        fleet.pass(9_000);
        reads(first);
        fleet.remove("a");
        reads(second);
        assertThat(second.serving()).containsExactly("a@1000");
        first.takes(second.told());
        assertThat(first.serving()).containsExactly("a@2000");
    }

    @Test
    void aPeerThatKeepsAnEndpointThatHasLeftDoesNotMakeItServe() throws IOException {
        second.cannotRead();
        fleet.leave("a");
        reads(first);
        fleet.remove("a");
        reads(first);
        first.cannotRead();
        fleet.pass(9_000);
        reads(first);
        reads(second);
        assertThat(second.serving()).containsExactly("a@1000");
        first.takes(second.told());
        assertThat(first.serving()).isEmpty();
    }

    @Test
    void anEntryThatTurnsUnusableNamesNoEndpointEvenWhileMissingOnesAreKept() {
        first.cannotRead();
        fleet.pass(9_000);
        fleet.spoil("a");
        reads(first);
        assertThat(first.serving()).isEmpty();
    }

    /** A reader, a late peer and a store outage in any order: the later start is displaced by nothing that is late. */
    @Property(seed = "20261202", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void nothingLateDisplacesALaterStart(@ForAll @Size(max = 30) List<@IntRange(max = 8) Integer> steps)
            throws IOException {
        DirectoryFleet any = new DirectoryFleet();
        List<DirectoryFleet.Member> routers = List.of(any.router(1), any.router(2));
        List<EndpointSnapshot> written = new ArrayList<>();
        int starts = 1;
        int[] seen = {0, 0};
        any.start("a", 1);
        for (int step : steps) {
            any.pass(PACE_MILLIS);
            switch (step) {
                case 0, 1 -> {
                    routers.get(step).reads();
                    seen[step] = any.registered("a") ? starts : seen[step];
                }
                // starts are numbered downwards now and then: their values must not matter
                case 2 -> any.start("a", ++starts % 3 == 0 ? -starts + 1_000 : starts);
                case 3 -> written.add(routers.get(0).told());
                case 4 -> written.add(routers.get(1).told());
                case 5 -> any.pass(9_000);
                case 6 -> any.remove("a");
                case 7 -> routers.forEach(DirectoryFleet.Member::cannotRead);
                default -> {
                    for (EndpointSnapshot list : written) {
                        routers.get(0).takes(list);
                        routers.get(1).takes(list);
                    }
                }
            }
            for (int router = 0; router < routers.size(); router++) {
                int least = seen[router];
                List<String> serving = routers.get(router).serving();
                assertThat(serving.size()).isAtMost(1);
                serving.forEach(id -> assertThat(number(id)).isAtLeast(least));
            }
        }
    }

    private static int number(String id) {
        int value = Integer.parseInt(id.substring(id.indexOf('@') + 1));
        return value > 500 ? 1_000 - value : value;
    }

    private void reads(DirectoryFleet.Member router) {
        fleet.pass(PACE_MILLIS);
        router.reads();
    }
}
