package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;

/**
 * The reading of the store that a list of endpoints rests on. It orders lists: of two that may be believed, the one that was read
 * later counts, also when the store's revision is the same.
 *
 * @param position the place in the store's history; {@link StorePosition#NONE} before the first reading
 * @param storeMillis the moment of the reading on the store's clock, in milliseconds; {@link StoreClock#NEVER} before the first
 * @param settled whether endpoints that the reading lacked are left out of the list, because they are known to be gone; if not, they
 *     are kept for a while, since registrations may have lapsed while the store was away
 * @since 0.4.0
 */
public record ListReading(StorePosition position, long storeMillis, boolean settled) {
    /** Before the first reading. */
    static final ListReading NONE = new ListReading(StorePosition.NONE, StoreClock.NEVER, false);

    /** Tells whether it was read later than another. */
    boolean laterThan(ListReading other) {
        return storeMillis > other.storeMillis;
    }

    /**
     * Tells whether a list that rests on this reading may replace one that rests on another. One that keeps what is missing never
     * replaces one that does not: it would bring back endpoints for as long as they are kept, 2.3 s.
     */
    boolean supersedes(ListReading other) {
        return laterThan(other) && (settled || !other.settled);
    }
}
