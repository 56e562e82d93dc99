package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;

/**
 * The reading of the store that a list of endpoints rests on. It orders lists: of two, the one that was read in the later era of the store counts, and
 * within an era the one that was read later, also when the store's revision is the same.
 *
 * @param position the place in the store's history; {@link StorePosition#NONE} before the first reading
 * @param storeMillis the moment of the reading on the store's clock, in milliseconds; {@link StoreClock#NEVER} before the first
 * @param settled whether endpoints that the reading lacked are left out of the list, because they are known to be gone; if not, they
 *     are kept for a while, since registrations may have lapsed while the store was away, or a snapshot may lack them
 * @since 0.4.0
 */
public record ListReading(StorePosition position, long storeMillis, boolean settled) {
    /** Before the first reading. */
    static final ListReading NONE = new ListReading(StorePosition.NONE, StoreClock.NEVER, false);

    /**
     * Returns the reading as told by a peer, which may tell no era.
     *
     * @param era the era as known here
     */
    ListReading resolved(StoreEra era) {
        return new ListReading(
                new StorePosition(era.resolved(position.era()), position.revision()), storeMillis, settled);
    }

    /** Tells whether the store was restored between another reading and this one. */
    boolean inLaterEraThan(ListReading other) {
        return position.inLaterEraThan(other.position);
    }

    /** Tells whether it was read later than another of the same era. */
    boolean laterThan(ListReading other) {
        return storeMillis > other.storeMillis;
    }

    /**
     * Tells whether a list that rests on this reading may replace one that rests on another. Within an era, one that keeps what is missing never
     * replaces one that does not: it would bring back endpoints for as long as they are kept, 2.3 s.
     */
    boolean supersedes(ListReading other) {
        if (!position.known()) {
            return false;
        }
        if (inLaterEraThan(other) || other.inLaterEraThan(this)) {
            return inLaterEraThan(other);
        }
        return laterThan(other) && (settled || !other.settled);
    }
}
