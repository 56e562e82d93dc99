package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.StorePositions.at;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.DataCentreDrain;
import org.radishpass.routing.fleet.StorePosition;

/** Checks which statement about a data centre's drain holds. */
final class DrainTrackerTest {
    private static final DataCentre HERE = new DataCentre("here");
    private static final DataCentre THERE = new DataCentre("there");
    private final DrainTracker tracker = new DrainTracker();

    @Test
    void olderStatementNeverReplacesANewerOne() {
        assertThat(tracker.offer(drainAt(HERE, 5, true), 10)).isTrue();
        assertThat(tracker.offer(drainAt(HERE, 7, false), 20)).isTrue();
        assertThat(tracker.offer(drainAt(HERE, 5, true), 30)).isFalse();
        assertThat(tracker.offer(drainAt(HERE, 7, true), 30)).isFalse();
        assertThat(tracker.drained()).isEmpty();
        assertThat(tracker.returnedAtMillis()).containsExactly(HERE, 20L);
    }

    @Test
    void drainThatACompleteReadDoesNotListHasEnded() {
        tracker.offer(drainAt(HERE, 5, true), 10);
        tracker.offer(drainAt(THERE, 9, true), 10);
        boolean changed = tracker.apply(new DrainReport(true, at(8), List.of()), 40);
        assertThat(changed).isTrue();
        assertThat(tracker.drained()).containsExactly(THERE); // drained after the read
    }

    @Test
    void drainThatAReadOfChangesDoesNotListStays() {
        tracker.offer(drainAt(HERE, 5, true), 10);
        assertThat(tracker.apply(new DrainReport(false, at(8), List.of()), 40)).isFalse();
        assertThat(tracker.drained()).containsExactly(HERE);
    }

    @Test
    void renewedDrainKeepsItsStartTime() {
        tracker.offer(drainAt(HERE, 5, true), 10);
        tracker.offer(drainAt(HERE, 6, true), 20);
        assertThat(tracker.changes()).containsExactly(new DrainTracker.Change(drainAt(HERE, 6, true), 10));
    }

    /**
     * Guards against using a drained data centre again because the store was restored from a snapshot taken before the
     * drain.
     */
    @Test
    void drainThatASnapshotLacksStaysForTheGracePeriod() {
        tracker.offer(drainAt(HERE, 5, true), 10);
        assertThat(tracker.apply(new DrainReport(true, afterRestore(3), List.of()), 40))
                .isFalse();
        assertThat(tracker.hasMissingRows()).isTrue();
        assertThat(tracker.expire(40 + DrainTracker.GRACE_MILLIS - 1)).isFalse();
        assertThat(tracker.drained()).containsExactly(HERE);
        assertThat(tracker.expire(40 + DrainTracker.GRACE_MILLIS)).isTrue();
        assertThat(tracker.drained()).isEmpty();
        assertThat(tracker.hasMissingRows()).isFalse();
    }

    @Test
    void drainThatASnapshotLacksAndIsWrittenAgainStays() {
        tracker.offer(drainAt(HERE, 5, true), 10);
        tracker.apply(new DrainReport(true, afterRestore(3), List.of()), 40);
        tracker.offer(new DataCentreDrain(HERE, afterRestore(4), true), 50);
        assertThat(tracker.expire(40 + DrainTracker.GRACE_MILLIS)).isFalse();
        assertThat(tracker.drained()).containsExactly(HERE);
    }

    /** Guards against reinstating a drain that has ended because a snapshot still contains its row. */
    @Test
    void removedRowInASnapshotDoesNotReinstateADrain() {
        tracker.offer(drainAt(HERE, 5, true), 10);
        tracker.offer(drainAt(HERE, 7, false), 20);
        DataCentreDrain snapshotRow = new DataCentreDrain(HERE, afterRestore(5), true);
        tracker.apply(new DrainReport(true, afterRestore(6), List.of(snapshotRow)), 30);
        assertThat(tracker.drained()).isEmpty();

        DrainTracker startedAfterRestore = new DrainTracker();
        startedAfterRestore.apply(new DrainReport(true, afterRestore(6), List.of(snapshotRow)), 30);
        tracker.changes().forEach(change -> startedAfterRestore.offer(change.drain(), 40));
        assertThat(startedAfterRestore.drained()).isEmpty();

        tracker.offer(new DataCentreDrain(HERE, afterRestore(8), true), 50);
        assertThat(tracker.drained()).containsExactly(HERE);
    }

    /**
     * Checks that the final state does not depend on the order in which, or how often, a router receives the store's
     * statements.
     */
    @Property(tries = 300, seed = "61")
    void stateIsIndependentOfTheOrderOfStatements(@ForAll long seed) {
        Random random = new Random(seed);
        List<DataCentreDrain> history = new ArrayList<>();
        for (int revision = 1; revision <= 12; revision++) {
            history.add(drainAt(random.nextBoolean() ? HERE : THERE, revision, random.nextBoolean()));
        }
        DrainTracker inOrder = new DrainTracker();
        history.forEach(statement -> inOrder.offer(statement, 0));
        DrainTracker other = new DrainTracker();
        List<DataCentreDrain> received = new ArrayList<>(history);
        received.addAll(history);
        Collections.shuffle(received, random);
        received.forEach(statement -> other.offer(statement, 0));
        assertThat(other.drained()).isEqualTo(inOrder.drained());
    }

    private static StorePosition afterRestore(long revision) {
        return new StorePosition(2, revision);
    }

    private static DataCentreDrain drainAt(DataCentre dataCentre, long revision, boolean drained) {
        return new DataCentreDrain(dataCentre, at(revision), drained);
    }
}
