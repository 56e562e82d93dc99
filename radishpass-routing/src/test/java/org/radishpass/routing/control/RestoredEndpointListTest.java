package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Checks, without a network, which endpoints two routers list while the store is restored from snapshots. */
final class RestoredEndpointListTest {
    private static final long READ_INTERVAL_MILLIS = 850;

    /** Number of reads after which a list is based on continuous reads. */
    private static final int WARM_UP_READS = 4;

    private DirectoryFleet fleet = new DirectoryFleet();
    private DirectoryFleet.Router first = fleet.router(1);
    private DirectoryFleet.Router second = fleet.router(2);

    /** Guards against using an endpoint that is gone because a snapshot taken before its end still lists it. */
    @Test
    void goneEndpointIsNotBroughtBackByASnapshot() {
        fleet.register("a");
        fleet.register("b");
        readAndShareRepeatedly();
        DirectoryFleet.Snapshot earlierSnapshot = fleet.snapshot();
        fleet.remove("b");
        readAndShareRepeatedly();
        fleet.restore(earlierSnapshot);
        readAndShareRepeatedly();
        assertThat(first.servingIds()).containsExactly("a");
        assertThat(second.servingIds()).containsExactly("a");
    }

    /**
     * Checks that an entry that has not expired long after a restore counts as that of a running endpoint, since nobody
     * would renew it otherwise.
     */
    @Test
    void endpointStillListedAfterTheExpiryTimeIsUsedAgain() {
        fleet.register("a");
        readAndShareRepeatedly();
        DirectoryFleet.Snapshot earlierSnapshot = fleet.snapshot();
        fleet.remove("a");
        readAndShareRepeatedly();
        fleet.restore(earlierSnapshot);
        readAndShareRepeatedly();
        assertThat(first.servingIds()).isEmpty();
        fleet.advance(GoneIncarnations.REGISTRATION_EXPIRY_MILLIS);
        readAndShareRepeatedly();
        assertThat(first.servingIds()).containsExactly("a");
        assertThat(second.servingIds()).containsExactly("a");
    }

    /**
     * Guards against a router that starts after a restore and reads only the snapshot, which lists a leaving endpoint
     * as available.
     */
    @Test
    void routerStartedAfterARestoreIsInformedOfLeavingEndpoints() {
        fleet.register("a");
        fleet.register("b");
        DirectoryFleet.Snapshot earlierSnapshot = fleet.snapshot();
        fleet.markLeaving("b");
        readAndShareRepeatedly();
        assertThat(first.writeMessage().state().leaving()).isEmpty();
        fleet.restore(earlierSnapshot);
        fleet.advance(READ_INTERVAL_MILLIS);
        first.readStore();

        DirectoryFleet.Router startedAfterRestore = fleet.router(3);
        startedAfterRestore.readStore();
        assertThat(startedAfterRestore.servingIds()).containsExactly("a", "b");
        startedAfterRestore.receive(first.writeMessage());
        assertThat(startedAfterRestore.servingIds()).containsExactly("a");
    }

    /**
     * Guards against an incarnation that is never used again because a snapshot lists its predecessor, which this
     * router had not seen.
     */
    @Test
    void incarnationMissingFromASnapshotIsNotReplacedByItsPredecessor() {
        fleet.registerIncarnation("a", 1_000);
        DirectoryFleet.Snapshot earlierSnapshot = fleet.snapshot();
        fleet.registerIncarnation("a", 2_000);
        readAndShareRepeatedly();
        fleet.restore(earlierSnapshot);
        fleet.advance(READ_INTERVAL_MILLIS);
        first.readStore();
        assertThat(first.servingIds()).containsExactly("a@2000");
        fleet.registerIncarnation("a", 2_000);
        readAndShareRepeatedly();
        assertThat(first.servingIds()).containsExactly("a@2000");
    }

    private void readAndShareRepeatedly() {
        for (int read = 0; read < WARM_UP_READS; read++) {
            fleet.advance(READ_INTERVAL_MILLIS);
            first.readStore();
            second.receive(first.writeMessage());
        }
    }

    /**
     * Checks random sequences of reads, delayed messages, losses and restores. An incarnation that a router knows to be
     * leaving or replaced never becomes available again at that router. Once endpoints have written their rows again
     * and the store has worked for a while, both routers list them.
     */
    @Property(seed = "20261203", tries = 2_000, shrinking = ShrinkingMode.OFF)
    void noSequenceOfEventsBringsBackEndedIncarnations(@ForAll @Size(max = 40) List<@IntRange(max = 10) Integer> steps)
            throws IOException {
        fleet = new DirectoryFleet();
        first = fleet.router(1);
        second = fleet.router(2);
        Set<String> endedIds = new HashSet<>();
        List<EndpointSnapshot> delayedLists = new ArrayList<>();
        fleet.registerIncarnation("a", 1_000);
        fleet.registerIncarnation("b", 1_000);
        readAndShareRepeatedly();
        DirectoryFleet.Snapshot snapshot = fleet.snapshot();
        long startMillis = 1_000;
        for (int step : steps) {
            List<String> servingBefore = first.servingIds();
            fleet.advance(READ_INTERVAL_MILLIS / 4);
            switch (step) {
                case 0, 1 -> first.readStore();
                case 2 -> second.readStore();
                case 3 -> second.receive(first.writeMessage());
                case 4 -> first.receive(second.writeMessage());
                case 5 -> delayedLists.add(first.decodedSnapshot());
                case 6 -> delayedLists.forEach(second::receiveList);
                case 7 -> snapshot = fleet.snapshot();
                case 8 -> fleet.restore(snapshot);
                case 9 -> {
                    fleet.markLeaving("a");
                    first.readStore();
                }
                default -> {
                    startMillis += 1_000;
                    fleet.registerIncarnation("a", startMillis);
                }
            }
            List<String> servingNow = first.servingIds();
            boolean endKnown = step == 9 || servingNow.stream().anyMatch(id -> id.startsWith("a@"));
            servingBefore.stream()
                    .filter(id -> endKnown && !servingNow.contains(id))
                    .forEach(endedIds::add);
            assertThat(servingNow).containsNoneIn(endedIds);
        }
        startMillis += 1_000;
        fleet.registerIncarnation("a", startMillis);
        readAndShareRepeatedly();
        fleet.advance(GoneIncarnations.REGISTRATION_EXPIRY_MILLIS);
        readAndShareRepeatedly();
        assertThat(first.servingIds()).containsExactly("a@" + startMillis, "b@1000");
        assertThat(second.servingIds()).containsExactly("a@" + startMillis, "b@1000");
    }
}
