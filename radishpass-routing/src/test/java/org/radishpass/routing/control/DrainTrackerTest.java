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

/** Checks which word on data centres holds. */
final class DrainTrackerTest {
    private static final DataCentre HERE = new DataCentre("here");
    private static final DataCentre THERE = new DataCentre("there");
    private final DrainTracker tracker = new DrainTracker();

    @Test
    void anOlderWordNeverReplacesANewerOne() {
        assertThat(tracker.offer(said(HERE, 5, true), 10)).isTrue();
        assertThat(tracker.offer(said(HERE, 7, false), 20)).isTrue();
        assertThat(tracker.offer(said(HERE, 5, true), 30)).isFalse();
        assertThat(tracker.offer(said(HERE, 7, true), 30)).isFalse();
        assertThat(tracker.drained()).isEmpty();
        assertThat(tracker.returnedAtMillis()).containsExactly(HERE, 20L);
    }

    @Test
    void whatAWholeReadingDoesNotNameHasEnded() {
        tracker.offer(said(HERE, 5, true), 10);
        tracker.offer(said(THERE, 9, true), 10);
        boolean news = tracker.read(new DrainReading(true, at(8), List.of()), 40);
        assertThat(news).isTrue();
        assertThat(tracker.drained()).containsExactly(THERE); // said after the reading
    }

    @Test
    void whatAnAnswerOfChangesDoesNotNameStays() {
        tracker.offer(said(HERE, 5, true), 10);
        assertThat(tracker.read(new DrainReading(false, at(8), List.of()), 40)).isFalse();
        assertThat(tracker.drained()).containsExactly(HERE);
    }

    @Test
    void oneThatIsRenewedHoldsSinceItsBeginning() {
        tracker.offer(said(HERE, 5, true), 10);
        tracker.offer(said(HERE, 6, true), 20);
        assertThat(tracker.changes()).containsExactly(new DrainTracker.Change(said(HERE, 6, true), 10));
    }

    /** Guards against a data centre that is used again since the store was restored from a snapshot of before its drain. */
    @Test
    void whatASnapshotLacksStaysUntilItHadTimeToBeWrittenAgain() {
        tracker.offer(said(HERE, 5, true), 10);
        assertThat(tracker.read(new DrainReading(true, restored(3), List.of()), 40))
                .isFalse();
        assertThat(tracker.awaitsRows()).isTrue();
        assertThat(tracker.expire(40 + DrainTracker.GRACE_MILLIS - 1)).isFalse();
        assertThat(tracker.drained()).containsExactly(HERE);
        assertThat(tracker.expire(40 + DrainTracker.GRACE_MILLIS)).isTrue();
        assertThat(tracker.drained()).isEmpty();
        assertThat(tracker.awaitsRows()).isFalse();
    }

    @Test
    void whatASnapshotLacksAndIsWrittenAgainStays() {
        tracker.offer(said(HERE, 5, true), 10);
        tracker.read(new DrainReading(true, restored(3), List.of()), 40);
        tracker.offer(new DataCentreDrain(HERE, restored(4), true), 50);
        assertThat(tracker.expire(40 + DrainTracker.GRACE_MILLIS)).isFalse();
        assertThat(tracker.drained()).containsExactly(HERE);
    }

    /** Guards against a drain that begins again since a snapshot still has the row that was removed. */
    @Test
    void aRowThatOnlyASnapshotStillHasBringsNoDrainBack() {
        tracker.offer(said(HERE, 5, true), 10);
        tracker.offer(said(HERE, 7, false), 20);
        DataCentreDrain ofSnapshot = new DataCentreDrain(HERE, restored(5), true);
        tracker.read(new DrainReading(true, restored(6), List.of(ofSnapshot)), 30);
        assertThat(tracker.drained()).isEmpty();

        DrainTracker startedSince = new DrainTracker();
        startedSince.read(new DrainReading(true, restored(6), List.of(ofSnapshot)), 30);
        tracker.changes().forEach(change -> startedSince.offer(change.drain(), 40));
        assertThat(startedSince.drained()).isEmpty();

        tracker.offer(new DataCentreDrain(HERE, restored(8), true), 50);
        assertThat(tracker.drained()).containsExactly(HERE);
    }

    /** In whatever order, and however often, routers hear what the store said, they end with the same. */
    @Property(tries = 300, seed = "61")
    void theOrderOfNewsDoesNotMatter(@ForAll long seed) {
        Random random = new Random(seed);
        List<DataCentreDrain> history = new ArrayList<>();
        for (int revision = 1; revision <= 12; revision++) {
            history.add(said(random.nextBoolean() ? HERE : THERE, revision, random.nextBoolean()));
        }
        DrainTracker inOrder = new DrainTracker();
        history.forEach(word -> inOrder.offer(word, 0));
        DrainTracker other = new DrainTracker();
        List<DataCentreDrain> heard = new ArrayList<>(history);
        heard.addAll(history);
        Collections.shuffle(heard, random);
        heard.forEach(word -> other.offer(word, 0));
        assertThat(other.drained()).isEqualTo(inOrder.drained());
    }

    private static StorePosition restored(long revision) {
        return new StorePosition(2, revision);
    }

    private static DataCentreDrain said(DataCentre dataCentre, long revision, boolean drained) {
        return new DataCentreDrain(dataCentre, at(revision), drained);
    }
}
