package org.radishpass.routing.fleet;

import java.util.Comparator;

/**
 * A place in the history of the store. A store that is restored from a snapshot begins a new era: its revisions go back to those of the
 * snapshot and are given out again, so that a revision alone says neither what it holds nor whether it is later than another.
 *
 * @param era how often the store has been restored; {@link #NO_ERA} if that is not told
 * @param revision the store's revision, which only rises within an era; -1 before the first
 * @since 0.7.0
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** The era of a store, or of a router of an earlier release, that tells none. */
    public static final long NO_ERA = 0;

    /** Before the first answer of the store. */
    public static final StorePosition NONE = new StorePosition(-1, -1);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /** Tells whether this is a place at which the store has answered. */
    public boolean known() {
        return revision >= 0;
    }

    /** Tells whether this is later than another place. */
    public boolean after(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Tells whether the store has been restored from a snapshot between another place and this one. */
    public boolean inLaterEraThan(StorePosition other) {
        return era > other.era;
    }

    /**
     * Tells whether a row that was written here and one that was written at another place may be the same: a restored store holds rows at the revisions at
     * which they had been written before.
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
