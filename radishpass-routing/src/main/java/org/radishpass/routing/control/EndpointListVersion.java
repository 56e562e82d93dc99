package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;

/**
 * The store read on which a list of endpoints is based. It orders lists: a list read in a later era of the store
 * takes precedence over one of an earlier era. Within an era, the list with the later store time takes precedence, even
 * if the store's revision is the same.
 *
 * @param position the position in the store's history; {@link StorePosition#NONE} before the first read
 * @param storeMillis the time of the read on the store's clock, in milliseconds; {@link StoreClock#UNKNOWN_MILLIS} before the
 *     first read
 * @param settled whether endpoints that the read did not contain are known to be gone and are left out of the list.
 *     Otherwise they are retained for a while, since registrations may have expired while the store was unavailable, or
 *     a snapshot may lack them.
 * @since 0.4.0
 */
public record EndpointListVersion(StorePosition position, long storeMillis, boolean settled) {
    /** Stands for no read. */
    static final EndpointListVersion NONE =
            new EndpointListVersion(StorePosition.NONE, StoreClock.UNKNOWN_MILLIS, false);

    /**
     * Returns this read, received from a peer, with the era filled in if the peer sent none.
     *
     * @param era the era as known to this router
     */
    EndpointListVersion withResolvedEra(StoreEra era) {
        return new EndpointListVersion(
                new StorePosition(era.resolveSentEra(position.era()), position.revision()), storeMillis, settled);
    }

    /** Tells whether the store was restored between another read and this one. */
    boolean inLaterEraThan(EndpointListVersion other) {
        return position.inLaterEraThan(other.position);
    }

    /** Tells whether this read is later than another one of the same era. */
    boolean laterThan(EndpointListVersion other) {
        return storeMillis > other.storeMillis;
    }

    /**
     * Tells whether a list based on this read may replace a list based on another read. Within an era, an unsettled
     * list never replaces a settled one: it would bring back endpoints that are gone for as long as missing endpoints
     * are retained, which is 2.3 s.
     */
    boolean supersedes(EndpointListVersion other) {
        if (!position.known()) {
            return false;
        }
        if (inLaterEraThan(other) || other.inLaterEraThan(this)) {
            return inLaterEraThan(other);
        }
        return laterThan(other) && (settled || !other.settled);
    }
}
