package org.radishpass.routing.fleet;

import java.util.Comparator;

/**
 * A position in the history of the store. A store that is restored from a snapshot begins a new era: its revisions
 * restart at the revision of the snapshot and are assigned again. A revision alone therefore identifies neither a
 * content nor an order.
 *
 * @param era the number of the era, which rises with each restoration; {@link #NO_ERA} if not stated
 * @param revision the revision of the store, which only rises within an era; -1 before the first read
 * @since 0.7.0
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** The era of a position from a store, or from a router of an earlier release, that does not state eras. */
    public static final long NO_ERA = 0;

    /** The position before the first response of the store. */
    public static final StorePosition NONE = new StorePosition(-1, -1);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /** Tells whether this is a position that the store has reported. */
    public boolean known() {
        return revision >= 0;
    }

    /** Tells whether this position is later than another. */
    public boolean after(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Tells whether the store has been restored from a snapshot between another position and this one. */
    public boolean inLaterEraThan(StorePosition other) {
        return era > other.era;
    }

    /**
     * Tells whether a row written at this position may be the same as a row written at another position. The eras are
     * ignored, because the rows of a restored store keep the revisions at which they were originally written.
     */
    public boolean sameRowAs(StorePosition other) {
        return revision == other.revision;
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
