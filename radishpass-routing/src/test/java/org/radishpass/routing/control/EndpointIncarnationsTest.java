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

/**
 * Checks that a new incarnation of an endpoint replaces the previous one, and that outdated information never displaces
 * it.
 */
final class EndpointIncarnationsTest {
    private static final long READ_INTERVAL_MILLIS = 850;

    private final DirectoryFleet fleet = new DirectoryFleet();
    private final DirectoryFleet.Router first = fleet.router(1);
    private final DirectoryFleet.Router second = fleet.router(2);

    @BeforeEach
    void readUntilTheListIsSettled() {
        fleet.registerIncarnation("a", 1_000);
        for (int read = 0; read < 4; read++) {
            fleet.advance(READ_INTERVAL_MILLIS);
            first.readStore();
            second.readStore();
        }
    }

    @Test
    void leavingEndpointIsUsedAgainAfterARestart() {
        fleet.markLeaving("a");
        readStore(first);
        assertThat(first.servingIds()).isEmpty();
        fleet.registerIncarnation("a", 2_000);
        readStore(first);
        assertThat(first.servingIds()).containsExactly("a@2000");
    }

    @Test
    void leavingIncarnationStaysLeavingEvenIfItsEntryNoLongerSaysSo() {
        fleet.markLeaving("a");
        readStore(first);
        fleet.registerIncarnation("a", 1_000);
        readStore(first);
        assertThat(first.servingIds()).isEmpty();
    }

    @Test
    void restartWhileTheStoreWasUnavailableReplacesTheRetainedIncarnation() {
        fleet.remove("a");
        first.failToReadStore();
        fleet.advance(9_000);
        readStore(first);
        assertThat(first.servingIds()).containsExactly("a@1000");
        fleet.registerIncarnation("a", 2_000);
        readStore(first);
        assertThat(first.servingIds()).containsExactly("a@2000");
    }

    @Test
    void onlyTheLastOfTwoRestartsBetweenReadsIsListed() {
        fleet.registerIncarnation("a", 2_000);
        fleet.registerIncarnation("a", 3_000);
        readStore(first);
        assertThat(first.servingIds()).containsExactly("a@3000");
    }

    @Test
    void newIncarnationMayHaveAnotherAddressServiceAndDataCentre() throws IOException {
        ServiceEndpoint moved = new ServiceEndpoint(
                        "a", "plans", new Address("10.9.9.9", 81), new DataCentre("there"), 2, false)
                .withIncarnation(new Incarnation(2_000));
        fleet.register(moved);
        readStore(first);
        assertThat(first.servingIds()).isEmpty();
        assertThat(first.decodedSnapshot().endpoints()).containsExactly(moved);
    }

    /**
     * Guards against ordering incarnations by their start times, since an endpoint's wall clock may have been set back.
     */
    @Test
    void newIncarnationWithAnEarlierStartTimeIsUsed() {
        fleet.registerIncarnation("a", 400);
        readStore(first);
        assertThat(first.servingIds()).containsExactly("a@400");
    }

    @Test
    void olderListOfAPeerDoesNotBringBackAReplacedIncarnation() throws IOException {
        EndpointSnapshot older = second.decodedSnapshot();
        fleet.registerIncarnation("a", 2_000);
        readStore(first);
        first.receiveList(older);
        assertThat(first.servingIds()).containsExactly("a@2000");
    }

    @Test
    void peerThatRetainsAReplacedIncarnationDoesNotBringItBack() throws IOException {
        fleet.registerIncarnation("a", 2_000);
        first.failToReadStore();
        second.failToReadStore();
        fleet.advance(9_000);
        readStore(first);
        fleet.remove("a");
        readStore(second);
        assertThat(second.servingIds()).containsExactly("a@1000");
        first.receiveList(second.decodedSnapshot());
        assertThat(first.servingIds()).containsExactly("a@2000");
    }

    @Test
    void peerThatRetainsALeavingEndpointDoesNotMakeItAvailable() throws IOException {
        second.failToReadStore();
        fleet.markLeaving("a");
        readStore(first);
        fleet.remove("a");
        readStore(first);
        first.failToReadStore();
        fleet.advance(9_000);
        readStore(first);
        readStore(second);
        assertThat(second.servingIds()).containsExactly("a@1000");
        first.receiveList(second.decodedSnapshot());
        assertThat(first.servingIds()).isEmpty();
    }

    @Test
    void endpointWithAnUnusableEntryIsRemovedEvenWhileMissingOnesAreRetained() {
        first.failToReadStore();
        fleet.advance(9_000);
        fleet.corrupt("a");
        readStore(first);
        assertThat(first.servingIds()).isEmpty();
    }

    /**
     * Checks that no order of reads, delayed lists of peers and store failures displaces a later incarnation by
     * outdated information.
     */
    @Property(seed = "20261202", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void outdatedInformationNeverDisplacesALaterIncarnation(
            @ForAll @Size(max = 30) List<@IntRange(max = 8) Integer> steps) throws IOException {
        DirectoryFleet randomFleet = new DirectoryFleet();
        List<DirectoryFleet.Router> routers = List.of(randomFleet.router(1), randomFleet.router(2));
        List<EndpointSnapshot> delayedLists = new ArrayList<>();
        int latestStart = 1;
        int[] latestSeenStart = {0, 0};
        randomFleet.registerIncarnation("a", 1);
        for (int step : steps) {
            randomFleet.advance(READ_INTERVAL_MILLIS);
            switch (step) {
                case 0, 1 -> {
                    routers.get(step).readStore();
                    latestSeenStart[step] = randomFleet.registered("a") ? latestStart : latestSeenStart[step];
                }
                // Some start times are lower than earlier ones, since the values must not matter.
                case 2 ->
                    randomFleet.registerIncarnation("a", ++latestStart % 3 == 0 ? -latestStart + 1_000 : latestStart);
                case 3 -> delayedLists.add(routers.get(0).decodedSnapshot());
                case 4 -> delayedLists.add(routers.get(1).decodedSnapshot());
                case 5 -> randomFleet.advance(9_000);
                case 6 -> randomFleet.remove("a");
                case 7 -> routers.forEach(DirectoryFleet.Router::failToReadStore);
                default -> {
                    for (EndpointSnapshot list : delayedLists) {
                        routers.get(0).receiveList(list);
                        routers.get(1).receiveList(list);
                    }
                }
            }
            for (int router = 0; router < routers.size(); router++) {
                int earliestAllowed = latestSeenStart[router];
                List<String> serving = routers.get(router).servingIds();
                assertThat(serving.size()).isAtMost(1);
                serving.forEach(id -> assertThat(startNumber(id)).isAtLeast(earliestAllowed));
            }
        }
    }

    private static int startNumber(String id) {
        int value = Integer.parseInt(id.substring(id.indexOf('@') + 1));
        return value > 500 ? 1_000 - value : value;
    }

    private void readStore(DirectoryFleet.Router router) {
        fleet.advance(READ_INTERVAL_MILLIS);
        router.readStore();
    }
}
