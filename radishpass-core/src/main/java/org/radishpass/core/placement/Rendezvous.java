package org.radishpass.core.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * Weighted rendezvous hashing: every observer of the same members ranks them alike for a key.
 *
 * <p>Removing a member moves only the keys that it held; adding one takes its share from all.
 *
 * @since 0.1.0
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final double UNIT = 0x1.0p-53;
    private static final int UNUSED_BITS = 11;
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private Rendezvous() {
        // static methods only
    }

    /**
     * Hashes a key once, so that it can be scored against many members.
     *
     * @param key what is to be placed
     */
    public static long hash(String key) {
        return HASH.hashChars(key);
    }

    /**
     * Returns the score of a member for a key; the member with the highest score comes first.
     *
     * @param keyHash the {@link #hash} of the key
     * @param memberHash the {@link #hash} of the member's identity
     * @param weight the member's weight, above 0
     */
    public static double score(long keyHash, long memberHash, double weight) {
        long mixed = HASH.hashLong(keyHash ^ Long.rotateLeft(memberHash * MIX, 31));
        double unit = ((mixed >>> UNUSED_BITS) + 0.5) * UNIT;
        return -weight / Math.log(unit);
    }
}
